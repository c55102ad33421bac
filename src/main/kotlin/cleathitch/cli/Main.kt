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

class Version : IVersionProvider {
    override fun getVersion() = arrayOf("cleathitch ${Main::class.java.`package`.implementationVersion ?: "(not packaged)"}")
}

/** The files that every command about a controller reads. */
class Files {
    @Option(names = ["--config"], required = true, paramLabel = "FILE", description = ["the platform's settings (JSON)"])
    lateinit var config: Path

    @Option(names = ["--operator"], paramLabel = "FILE", description = ["the operators' own settings (EDN)"])
    var operator: Path? = null

    fun settings() = Settings.read(config)
    fun operatorSettings() = operator?.let(OperatorSettings::read) ?: OperatorSettings.DEFAULT
}

@Command(
    name = "serve",
    description = ["Runs a controller until it is killed."],
    mixinStandardHelpOptions = true,
    versionProvider = Version::class,
)
class Serve : Runnable {
    @Mixin
    lateinit var files: Files

    override fun run() = Application(files.settings(), files.operatorSettings()).start()
}

@Command(
    name = "check-config",
    description = ["Reads the settings, says what is wrong with them, and ends."],
    mixinStandardHelpOptions = true,
    versionProvider = Version::class,
)
class CheckConfig : Runnable {
    @Mixin
    lateinit var files: Files

    override fun run() {
        val settings = files.settings()
        files.operatorSettings()
        println("${files.config}: ok, member ${settings.member} of ${settings.deployment.nodes}")
    }
}

private fun configureLogging() {
    val level = System.getenv("LOG_LEVEL")?.lowercase()?.takeIf { it in setOf("error", "info", "debug") } ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error")
    System.setProperty("org.slf4j.simpleLogger.log.cleathitch", level)
    // Each connection that a peer or worker resets; what follows from it is logged where it is known.
    System.setProperty("org.slf4j.simpleLogger.log.io.vertx.core.net.impl", "off")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss.SSSXXX")
}

fun main(args: Array<String>) {
    configureLogging()
    val exit = CommandLine(Main())
        .setExecutionExceptionHandler { e, command, _ ->
            if (e !is InvalidSettingsException) throw e
            command.err.println("cleathitch: ${e.message}")
            CommandLine.ExitCode.SOFTWARE
        }
        .execute(*args)
    // A server's threads live on after its command has returned.
    if (exit != CommandLine.ExitCode.OK) exitProcess(exit)
}
