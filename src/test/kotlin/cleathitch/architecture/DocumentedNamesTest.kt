package cleathitch.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText

/** What the pages name is there: types and members of the code, files, packages and HTTP paths. */
class DocumentedNamesTest {
    private val names = DeclaredNames(SourceTree.main + SourceTree.tests)

    @ParameterizedTest
    @ValueSource(strings = ["README.md", "docs/architecture.md", "docs/design.md", "docs/glossary.md", "docs/operations.md"])
    fun `a page names only what is there`(page: String) {
        assertEquals(emptyList<String>(), names.missing(Path.of(page).readText()))
    }

    @Test
    fun `the architecture page names every package`() {
        val page = Path.of("docs/architecture.md").readText()
        assertEquals(emptyList<String>(), PackageGraph(SourceTree.main).packages.filter { "`$it`" !in page })
    }

    @Test
    fun `names that are not there are found`() {
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
    fun `the declarations of the sources are read`() {
        assertTrue(names.types.containsAll(listOf("Scheduler", "Effect", "Write", "MachineId", "LogLevel", "LogCodec")))
    }
}

/** Names that [files] declare, and the check of a page's text against them. */
private class DeclaredNames(files: List<SourceFile>) {
    /** Each type with what the files that declare it declare: its members, nested types and constants, among others. */
    private val declared: Map<String, Set<String>> = files.flatMap { file ->
        val names = DECLARATIONS.flatMapTo(HashSet()) { pattern -> pattern.findAll(file.code).map { it.groupValues[1] } }
        TYPE.findAll(file.code).map { it.groupValues[1] to names }
    }.groupBy({ it.first }, { it.second }).mapValues { (_, names) -> names.flatten().toSet() }

    val types: Set<String> get() = declared.keys

    /** The names in backticks, and the types in diagrams, that stand for nothing. */
    fun missing(page: String): List<String> {
        val diagrams = FENCED.findAll(page).map { it.value }.toList()
        val inDiagrams = diagrams.flatMap { diagram -> CAMEL_CASE.findAll(diagram).map { it.value } }.filter { it !in types }
        val inText = QUOTED.findAll(page.replace(FENCED, "")).map { it.groupValues[1] }.filterNot(::isKnown)
        return (inText + inDiagrams).distinct().toList()
    }

    private fun isKnown(name: String): Boolean = when {
        name.matches(QUALIFIED_TYPE) -> name.split('.').let { parts -> declared[parts.first()]?.containsAll(parts.drop(1)) == true }
        name.matches(HTTP_PATH) -> SourceTree.main.any { "\"${name.substringAfter(' ')}" in it.text }
        name.matches(FILE) -> name in OPTIONAL_FILES || Files.exists(Path.of(name))
        else -> true
    }

    private companion object {
        val TYPE = Regex("""\b(?:class|interface|object|typealias)\s+([A-Z]\w*)""")
        val MEMBER = Regex("""\b(?:fun|val|var)\s+(?:<[^>]+>\s+)?(?:\w+\.)?(\w+)""")

        /** Entries of enums and constants. */
        val ENTRY = Regex("""\b([A-Z][A-Z_]+)\b""")
        val DECLARATIONS = listOf(TYPE, MEMBER, ENTRY)
        val FENCED = Regex("""(?ms)^```.*?^```""")
        val QUOTED = Regex("""`([^`\n]+)`""")
        val CAMEL_CASE = Regex("""\b(?:[A-Z][a-z]+){2,}\b""")

        /** `Type`, `Type.Nested`, `Type.member`; not a constant such as LOG_LEVEL or a rate such as G. */
        val QUALIFIED_TYPE = Regex("""[A-Z][a-zA-Z]*[a-z][a-zA-Z]*(\.\w+)*""")
        val HTTP_PATH = Regex("""((GET|POST) )?/[a-z][a-z/]*""")

        /** The list of tests with a known fault is there only while there are any. */
        val OPTIONAL_FILES = setOf("KNOWN-RED.txt")
        val FILE = Regex("""[\w./-]+\.(kt|md|xml|yml|toml|java|txt)""")
    }
}
