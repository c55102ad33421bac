package cleathitch.cli

import cleathitch.config.InvalidSettingsException
import cleathitch.config.OperatorSettings
import cleathitch.config.Settings
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.IVersionProvider
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.nio.file.Path
import kotlin.system.exitProcess

/** The root command; the subcommands do the work. */
@Command(
    name = "cleathitch",
    description = ["A cluster scheduler that keeps its state in a small consistent store."],
    mixinStandardHelpOptions = true,
    versionProvider = Version::class,
    subcommands = [Serve::class, CheckConfig::class, ClassArchiveTraining::class],
)
class Main : Runnable {
    override fun run() = throw CommandLine.ParameterException(CommandLine(this), "a command is missing: serve or check-config")
}

/** Reads the version from the manifest of the JAR. */
class Version : IVersionProvider {
    override fun getVersion() = arrayOf("cleathitch ${Main::class.java.`package`.implementationVersion ?: "(not packaged)"}")
}

/** The options of the commands that read a controller's settings. */
class SettingsFiles {
    @Option(names = ["--config"], required = true, paramLabel = "FILE", description = ["the platform's settings (JSON)"])
    lateinit var config: Path

    @Option(names = ["--operator"], paramLabel = "FILE", description = ["the operators' own settings (EDN)"])
    var operator: Path? = null

    /** Reads the platform's settings. */
    fun readSettings() = Settings.read(config)

    /** Reads the operators' settings; returns the defaults if no file is given. */
    fun readOperatorSettings() = operator?.let(OperatorSettings::read) ?: OperatorSettings.DEFAULT
}

/** Starts a controller; the threads of its event loops keep the process running. */
@Command(
    name = "serve",
    description = ["Runs a controller until it is killed."],
    mixinStandardHelpOptions = true,
    versionProvider = Version::class,
)
class Serve : Runnable {
    @Mixin
    lateinit var files: SettingsFiles

    override fun run() = Application(files.readSettings(), files.readOperatorSettings()).start()
}

/** Validates the settings without starting anything. */
@Command(
    name = "check-config",
    description = ["Reads the settings, says what is wrong with them, and ends."],
    mixinStandardHelpOptions = true,
    versionProvider = Version::class,
)
class CheckConfig : Runnable {
    @Mixin
    lateinit var files: SettingsFiles

    override fun run() {
        val settings = files.readSettings()
        files.readOperatorSettings()
        println("${files.config}: ok, member ${settings.member} of ${settings.deployment.controllerCount}")
    }
}

/** Must be called before the first logger is created. */
private fun configureLogging() {
    val level = System.getenv("LOG_LEVEL")?.lowercase()?.takeIf { it in LOG_LEVELS } ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error")
    System.setProperty("org.slf4j.simpleLogger.log.cleathitch", level)
    // This logger of Vert.x logs every connection that a peer or worker resets; the code that handles a reset logs its effects.
    System.setProperty("org.slf4j.simpleLogger.log.io.vertx.core.net.impl", "off")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss.SSSXXX")
}

/** Runs the command; invalid or unreadable settings end the process with a message and exit code 1. */
fun main(args: Array<String>) {
    configureLogging()
    val exit = CommandLine(Main())
        .setExecutionExceptionHandler { e, command, _ ->
            if (e !is InvalidSettingsException) throw e
            command.err.println("cleathitch: ${e.message}")
            CommandLine.ExitCode.SOFTWARE
        }
        .execute(*args)
    // After a successful `serve`, the process must not exit: the event loops' threads continue to run.
    if (exit != CommandLine.ExitCode.OK) exitProcess(exit)
}

private val LOG_LEVELS = setOf("error", "info", "debug")
