package cleathitch.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText

/** Enforces the package layout in docs/architecture.md: the allowed dependencies, and a scheduler that is a state machine without I/O. */
class PackageDependenciesTest {
    private val graph = PackageGraph(SourceTree.main)

    @Test
    fun `every package imports only from packages that it may depend on`() {
        val violations = graph.dependencies.flatMap { (name, targets) ->
            val allowed = ALLOWED_DEPENDENCIES[name] ?: return@flatMap listOf("package $name is not in the table of allowed dependencies")
            (targets - allowed).flatMap { target ->
                graph.importers(SourceTree.main, name, target).map { "$it imports from $target, which $name must not depend on" }
            }
        }
        assertEquals(emptyList<String>(), violations)
    }

    @Test
    fun `the table of allowed dependencies lists only packages that exist`() {
        assertEquals(emptySet<String>(), (ALLOWED_DEPENDENCIES.keys + ALLOWED_DEPENDENCIES.values.flatten()) - graph.packages)
    }

    @Test
    fun `package dependencies have no cycle`() {
        assertNull(graph.cycle())
    }

    @Test
    fun `the scheduler imports neither I-O nor threads`() {
        val violations = schedulerFiles().flatMap { file ->
            file.imports.filterNot { import -> PURE_IMPORTS.any(import::startsWith) && IMPURE_IMPORTS.none(import::startsWith) }
                .map { "$file imports $it" }
        }
        assertEquals(emptyList<String>(), violations)
    }

    @Test
    fun `the scheduler reads no clock and draws no random numbers`() {
        val violations = schedulerFiles().flatMap { file -> IMPURE_USES.findAll(file.code).map { "$file uses ${it.value}" } }
        assertEquals(emptyList<String>(), violations)
    }

    @Test
    fun `a cycle between packages is found`(@TempDir directory: Path) {
        val files = listOf(
            source(directory, "a.One", "cleathitch.b.Two"),
            source(directory, "b.Two", "cleathitch.c.Three.Nested"),
            source(directory, "c.Three", "cleathitch.b.Two"),
        )
        assertEquals(listOf("b", "c", "b"), PackageGraph(files).cycle())
        assertNull(PackageGraph(files.dropLast(1)).cycle())
    }

    private fun source(directory: Path, type: String, import: String): SourceFile {
        val file = directory.resolve("${type.substringAfterLast('.')}.kt")
        file.writeText("package cleathitch.${type.substringBeforeLast('.')}\n\nimport $import\n")
        return SourceFile(file)
    }

    private fun schedulerFiles() = SourceTree.main.filter { it.packageName == SCHEDULER || it.packageName.startsWith("$SCHEDULER.") }

    private companion object {
        const val SCHEDULER = "cleathitch.scheduler"

        /** What the scheduler may import: its own packages, collections, arithmetic, durations and serialization annotations. */
        val PURE_IMPORTS =
            listOf("$SCHEDULER.", "kotlin.math.", "kotlin.collections.", "kotlin.time.Duration", "kotlinx.serialization.", "java.util.")
        val IMPURE_IMPORTS = listOf("java.util.concurrent.", "java.util.UUID", "java.util.Random", "java.util.Timer", "java.util.Scanner")
        val IMPURE_USES = Regex(
            """\b(System\.(nanoTime|currentTimeMillis|getenv|out|err)|println|Math\.random|Random\b|UUID\b|Instant\.now|""" +
                """java\.(io|nio|net|time)\.|io\.vertx\.|org\.slf4j\.|kotlinx\.coroutines\.)""",
        )

        /** For each package, the packages that it may import from. */
        val ALLOWED_DEPENDENCIES: Map<String, Set<String>> = """
            scheduler.model:
            scheduler.log:       scheduler.model
            scheduler.api:       scheduler.model scheduler.log
            scheduler.jobs:      scheduler.model scheduler.log scheduler.api
            scheduler.machines:  scheduler.model scheduler.log scheduler.api scheduler.jobs
            scheduler.placement: scheduler.model scheduler.log scheduler.api scheduler.jobs scheduler.machines
            scheduler.capacity:  scheduler.model scheduler.log scheduler.api scheduler.jobs scheduler.machines scheduler.placement
            scheduler.requests:  scheduler.model scheduler.log scheduler.api scheduler.jobs scheduler.machines scheduler.placement
            scheduler:           scheduler.model scheduler.log scheduler.api scheduler.jobs scheduler.machines scheduler.placement
                                 scheduler.capacity scheduler.requests
            http:
            metrics:
            config:              http scheduler.model
            protocol:            http scheduler.model scheduler.log scheduler.api
            storage:             http metrics protocol scheduler.model scheduler.log
            election:            http metrics protocol storage scheduler.model scheduler.api
            cloud:               http metrics protocol scheduler.model scheduler.log scheduler.api
            workers:             http protocol scheduler.model scheduler.api
            peers:               http protocol workers scheduler.model scheduler.api
            leader:              cloud election http metrics peers storage workers scheduler scheduler.model scheduler.log scheduler.api
            controller:          cloud config election http leader metrics peers protocol storage workers scheduler.model scheduler.log
                                 scheduler.api
            cli:                 cloud config controller election http leader metrics peers protocol storage workers
                                 scheduler.model scheduler.api
        """.trim().split(Regex("""\n\s*(?=\S+:)""")).associate { row ->
            row.substringBefore(':') to row.substringAfter(':').split(Regex("""\s+""")).filterTo(HashSet()) { it.isNotEmpty() }
        }
    }
}
