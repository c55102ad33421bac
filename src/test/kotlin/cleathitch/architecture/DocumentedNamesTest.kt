package cleathitch.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText

/** Checks that everything the documentation refers to exists: types and members, files, packages and HTTP paths. */
class DocumentedNamesTest {
    private val names = DeclaredNames(SourceTree.main + SourceTree.tests)

    @ParameterizedTest
    @ValueSource(strings = ["README.md", "docs/architecture.md", "docs/design.md", "docs/glossary.md", "docs/operations.md"])
    fun `a page refers only to names that exist`(page: String) {
        assertEquals(emptyList<String>(), names.missing(Path.of(page).readText()))
    }

    @Test
    fun `the architecture page lists every package`() {
        val page = Path.of("docs/architecture.md").readText()
        assertEquals(emptyList<String>(), PackageGraph(SourceTree.main).packages.filter { "`$it`" !in page })
    }

    @Test
    fun `names that do not exist are reported`() {
        val page = """
            `Scheduler` and `Effect.Write`, `GET /metrics`, `LogLevel.DEBUG`, `docs/design.md`, `/metrics`, `pom.xml`, `max_sockets`
            `SchedulerOfOld`, `Effect.MadeUp`, `Scheduler.madeUp`, `docs/made-up.md`, `POST /made/up`, `made-up.xml`
            ```mermaid
            flowchart LR
                a[LeaderTerm] --> b[LeaderOfOld]
            ```
        """.trimIndent()
        val expected = "Effect.MadeUp LeaderOfOld Scheduler.madeUp SchedulerOfOld docs/made-up.md made-up.xml".split(' ') + "POST /made/up"
        assertEquals(expected.sorted(), names.missing(page).sorted())
    }

    @Test
    fun `types declared in the sources are found`() {
        assertTrue(names.types.containsAll(listOf("Scheduler", "Effect", "Write", "MachineId", "LogLevel", "LogCodec")))
    }
}

/** The names that [files] declare. Finds the names in a page that match none of them. */
private class DeclaredNames(files: List<SourceFile>) {
    /**
     * For each type, all names declared in the files that declare the type. They include its members, nested types and constants.
     */
    private val namesByType: Map<String, Set<String>> = files.flatMap { file ->
        val names = DECLARATIONS.flatMapTo(HashSet()) { pattern -> pattern.findAll(file.code).map { it.groupValues[1] } }
        TYPE.findAll(file.code).map { it.groupValues[1] to names }
    }.groupBy({ it.first }, { it.second }).mapValues { (_, names) -> names.flatten().toSet() }

    val types: Set<String> get() = namesByType.keys

    /** The names in backticks and the types in diagrams of [page] that do not exist. */
    fun missing(page: String): List<String> {
        val diagrams = FENCED_BLOCK.findAll(page).map { it.value }.toList()
        val inDiagrams = diagrams.flatMap { diagram -> CAMEL_CASE.findAll(diagram).map { it.value } }.filter { it !in types }
        val inText = CODE_SPAN.findAll(page.replace(FENCED_BLOCK, "")).map { it.groupValues[1] }.filterNot(::exists)
        return (inText + inDiagrams).distinct().toList()
    }

    private fun exists(name: String): Boolean = when {
        name.matches(QUALIFIED_TYPE) -> name.split('.').let { parts -> namesByType[parts.first()]?.containsAll(parts.drop(1)) == true }
        name.matches(HTTP_PATH) -> SourceTree.main.any { "\"${name.substringAfter(' ')}" in it.text }
        name.matches(FILE) -> name in OPTIONAL_FILES || Files.exists(Path.of(name))
        else -> true
    }

    private companion object {
        val TYPE = Regex("""\b(?:class|interface|object|typealias)\s+([A-Z]\w*)""")
        val MEMBER = Regex("""\b(?:fun|val|var)\s+(?:<[^>]+>\s+)?(?:\w+\.)?(\w+)""")

        /** Enum entries and constants. */
        val ENTRY = Regex("""\b([A-Z][A-Z_]+)\b""")
        val DECLARATIONS = listOf(TYPE, MEMBER, ENTRY)
        val FENCED_BLOCK = Regex("""(?ms)^```.*?^```""")
        val CODE_SPAN = Regex("""`([^`\n]+)`""")
        val CAMEL_CASE = Regex("""\b(?:[A-Z][a-z]+){2,}\b""")

        /** `Type`, `Type.Nested` or `Type.member`, but not a constant such as LOG_LEVEL or the single-letter name of a rate such as G. */
        val QUALIFIED_TYPE = Regex("""[A-Z][a-zA-Z]*[a-z][a-zA-Z]*(\.\w+)*""")
        val HTTP_PATH = Regex("""((GET|POST) )?/[a-z][a-z/]*""")

        /** The list of tests that fail because of a known fault exists only while there are such tests. */
        val OPTIONAL_FILES = setOf("KNOWN-RED.txt")
        val FILE = Regex("""[\w./-]+\.(kt|md|xml|yml|toml|java|txt)""")
    }
}
