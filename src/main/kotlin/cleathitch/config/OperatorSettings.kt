package cleathitch.config

import us.bpsm.edn.EdnException
import us.bpsm.edn.Keyword
import us.bpsm.edn.parser.Parser
import us.bpsm.edn.parser.Parsers
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * The settings that operators may change, read from a file with one EDN map. Missing keys have defaults; unknown keys are errors.
 *
 *     {:trim-s 10 :cloud-share 0.8}
 */
data class OperatorSettings(
    /** The interval between compactions of the log, in seconds. */
    val compactionPeriodS: Double? = null,

    /** The share of the cloud's rate limit that the leader may use. */
    val cloudShare: Double? = null,
) {
    companion object {
        /** The settings without any key, all with their defaults. */
        val DEFAULT = OperatorSettings()

        /** Reads the file; throws [InvalidSettingsException] if it is invalid or unreadable. */
        fun read(file: Path): OperatorSettings {
            val map = parse(file) as? Map<*, *> ?: throw InvalidSettingsException(file, null, "isn't one map")
            return map.entries.fold(DEFAULT) { settings, (key, value) -> settings.with(file, key, value) }
        }

        private fun OperatorSettings.with(file: Path, key: Any?, value: Any?): OperatorSettings {
            val name = (key as? Keyword)?.name ?: throw InvalidSettingsException(file, "$key", "isn't a keyword")
            val number = (value as? Number)?.toDouble()?.takeIf { it.isFinite() && it > 0 }
                ?: throw InvalidSettingsException(file, ":$name", "must be a number greater than 0, but is $value")
            return when (name) {
                "trim-s" -> copy(compactionPeriodS = number)
                "cloud-share" ->
                    if (number <= 1) {
                        copy(cloudShare = number)
                    } else {
                        throw InvalidSettingsException(file, ":$name", "must be at most 1, but is $number")
                    }
                else -> throw InvalidSettingsException(file, ":$name", "is unknown")
            }
        }

        private fun parse(file: Path): Any? = try {
            Files.newBufferedReader(file).use { reader ->
                val parser = Parsers.newParser(Parsers.defaultConfiguration())
                val input = Parsers.newParseable(reader)
                val value = parser.nextValue(input)
                if (value !== Parser.END_OF_INPUT && parser.nextValue(input) !== Parser.END_OF_INPUT) {
                    throw InvalidSettingsException(file, null, "contains more than one value")
                }
                value
            }
        } catch (e: IOException) {
            throw InvalidSettingsException(file, null, "can't be read (${e.javaClass.simpleName})", e)
        } catch (e: EdnException) {
            throw InvalidSettingsException(file, null, "isn't EDN: ${e.message}", e)
        }
    }
}
