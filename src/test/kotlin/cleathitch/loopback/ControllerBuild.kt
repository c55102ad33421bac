package cleathitch.loopback

import java.io.File
import java.nio.file.Files
import java.nio.file.Path

/** The build of the software that a controller's process runs. */
sealed interface ControllerBuild {
    /** The options of `java` that choose the program. */
    val javaOptions: List<String>

    /** The classes under test. */
    data object Present : ControllerBuild {
        override val javaOptions: List<String>
            get() {
                val classes = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
                return listOf("-cp", classes, "cleathitch.cli.MainKt")
            }
    }

    /** A packaged build; its libraries stand beside it in `lib`, as its manifest says. */
    data class Packaged(val jar: Path) : ControllerBuild {
        init {
            require(Files.isRegularFile(jar)) { "not a file: $jar" }
        }

        override val javaOptions get() = listOf("-jar", "$jar")
    }

    companion object {
        /** The build that `-Dprevious.jar=/path/to/cleathitch.jar` names, or else the present one. */
        fun previous(): ControllerBuild =
            System.getProperty("previous.jar")?.let { Packaged(File(it).toPath().toAbsolutePath()) } ?: Present
    }
}
