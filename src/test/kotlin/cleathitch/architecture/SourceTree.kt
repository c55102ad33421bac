package cleathitch.architecture

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readLines
import kotlin.io.path.readText

/** A Kotlin source file with its package and its imports. */
class SourceFile(val path: Path) {
    val lines: List<String> = path.readLines()
    val text: String = path.readText()
    val packageName: String = lines.first { it.startsWith("package ") }.removePrefix("package ").trim()
    val imports: List<String> = lines.filter { it.startsWith("import ") }.map { it.removePrefix("import ").substringBefore(" as ").trim() }

    /** The text without comments, so that a match is a use and not a mention in a comment. */
    val code: String = text.replace(
        Regex("""/\*.*?\*/""", RegexOption.DOT_MATCHES_ALL),
        "",
    ).replace(Regex("""(?m)^\s*//.*$|\s//\s.*$"""), "")

    override fun toString() = path.toString()
}

/** The project's Kotlin sources, relative to the build's working directory. */
object SourceTree {
    val main: List<SourceFile> by lazy { read(Path.of("src/main/kotlin")) }
    val tests: List<SourceFile> by lazy { read(Path.of("src/test/kotlin")) }

    private fun read(root: Path): List<SourceFile> = Files.walk(root).use { paths ->
        paths.filter { it.extension == "kt" }.sorted().map(::SourceFile).toList()
    }
}

/** The packages below `cleathitch` by their short names, such as `scheduler.jobs`, and the packages that each imports from. */
class PackageGraph(files: List<SourceFile>) {
    private val declaredPackages = files.mapTo(sortedSetOf()) { it.packageName }

    val packages: Set<String> = declaredPackages.mapTo(sortedSetOf(), ::shortName)
    val dependencies: Map<String, Set<String>> = files.groupBy { shortName(it.packageName) }.mapValues { (name, packageFiles) ->
        packageFiles.flatMap { it.imports }.mapNotNull(::packageOf).map(::shortName).filterTo(sortedSetOf()) { it != name }
    }

    /** The files of package [name] that import from package [target]. */
    fun importers(files: List<SourceFile>, name: String, target: String): List<SourceFile> = files.filter { file ->
        shortName(file.packageName) == name && file.imports.any { import -> packageOf(import)?.let(::shortName) == target }
    }

    /** A dependency path from a package back to itself, or null if there is none. */
    fun cycle(): List<String>? {
        val finished = HashSet<String>()
        fun search(path: List<String>): List<String>? {
            val name = path.last()
            if (name in path.dropLast(1)) return path.drop(path.indexOf(name))
            if (name in finished) return null
            return dependencies[name].orEmpty().firstNotNullOfOrNull { search(path + it) }.also { finished += name }
        }
        return packages.firstNotNullOfOrNull { search(listOf(it)) }
    }

    /** The package in [declaredPackages] that declares [import], which may be nested in a type, or null if there is none. */
    private fun packageOf(import: String) = declaredPackages.filter { import.startsWith("$it.") }.maxByOrNull { it.length }

    private fun shortName(packageName: String) = packageName.removePrefix("cleathitch").removePrefix(".").ifEmpty { "(root)" }
}
