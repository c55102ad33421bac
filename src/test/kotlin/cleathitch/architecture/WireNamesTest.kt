package cleathitch.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * Checks that only the package `protocol`, which maps the protocol's field names to the code's terms, contains those names that differ
 * from the terms, and that docs/glossary.md explains these names.
 */
class WireNamesTest {
    private val protocolFiles = SourceTree.main.filter { it.packageName == PROTOCOL }
    private val otherFiles = SourceTree.main - protocolFiles.toSet()

    @Test
    fun `only the protocol package contains wire names`() {
        val wireName = Regex("""\b(${WIRE_NAMES.joinToString("|")})\b""")
        val violations = otherFiles.flatMap { file ->
            wireName.findAll(file.text).map { it.value }.distinct().map { "$file contains the wire name $it" }
        }
        assertEquals(emptyList<String>(), violations)
    }

    @Test
    fun `every listed wire name is in the protocol package and in the glossary`() {
        val glossary = Path.of("docs/glossary.md").readText()
        val unused = WIRE_NAMES.filter { name -> protocolFiles.none { "\"$name\"" in it.text } }
        assertEquals(emptyList<String>(), unused)
        assertEquals(emptyList<String>(), WIRE_NAMES.filter { "`$it`" !in glossary })
    }

    private companion object {
        const val PROTOCOL = "cleathitch.protocol"

        /** The protocol's field names that are neither plain English nor used as terms in the code. */
        val WIRE_NAMES = """
            alquiler aproxS arriendo asiento avisoS burro burros capataz comarca comarcas cuadrilla estado
            folio graciaS guardadoS hitoS hornada hornadas imagen intento jornada motivo nameId oficio orden
            ordenes ownerCrew plazoS prestados pullGb retoque tarea tareas urgencia vara
        """.trim().split(Regex("\\s+"))
    }
}
