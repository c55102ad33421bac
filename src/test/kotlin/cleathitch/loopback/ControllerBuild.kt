package cleathitch.loopback

import java.io.File
import java.nio.file.Files
import java.nio.file.Path

/** A build of the controller that a test starts as a process. */
sealed interface ControllerBuild {
    /** The `java` options that select the program to run. */
    val javaOptions: List<String>

    /** The build under test, run from its compiled classes. */
    data object Current : ControllerBuild {
        override val javaOptions: List<String>
            get() {
                val classes = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
                return listOf("-cp", classes, "cleathitch.cli.MainKt")
            }
    }

    /** A packaged build. Its manifest refers to the libraries in the directory `lib` beside the jar. */
    data class Packaged(val jar: Path) : ControllerBuild {
        init {
            require(Files.isRegularFile(jar)) { "controller build is not a regular file: $jar" }
        }

        override val javaOptions get() = listOf("-jar", "$jar")
    }

    companion object {
        /** The build that `-Dprevious.jar=/path/to/cleathitch.jar` names, or the current build if the property is not set. */
        fun previous(): ControllerBuild =
            System.getProperty("previous.jar")?.let { Packaged(File(it).toPath().toAbsolutePath()) } ?: Current
    }
}
