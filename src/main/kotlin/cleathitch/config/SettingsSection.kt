package cleathitch.config

import cleathitch.http.Address
import com.fasterxml.jackson.databind.JsonNode
import java.nio.file.Path

/**
 * One JSON object of the settings [file], at [path]. What is missing or of the wrong kind is an [InvalidSettingsException]
 * that names file, key and reason.
 */
internal class SettingsSection(private val file: Path, private val path: String, private val node: JsonNode) {
    /** Ends the reading because of the value of [name]. */
    fun fail(name: String, reason: String): Nothing = throw InvalidSettingsException(file, key(name), reason)

    /** An object. */
    fun section(name: String): SettingsSection {
        val value = required(name)
        if (!value.isObject) fail(name, "must be an object")
        return SettingsSection(file, key(name), value)
    }

    /** A list of objects. */
    fun sections(name: String): List<SettingsSection> {
        val value = required(name)
        if (!value.isArray) fail(name, "must be a list")
        return value.mapIndexed { i, item ->
            if (!item.isObject) fail("$name[$i]", "must be an object")
            SettingsSection(file, key("$name[$i]"), item)
        }
    }

    /** A list of texts. */
    fun texts(name: String): List<String> {
        val value = required(name)
        if (!value.isArray || value.any { !it.isTextual }) fail(name, "must be a list of texts")
        return value.map { it.textValue() }
    }

    /** A text that isn't empty. */
    fun text(name: String): String {
        val value = required(name)
        if (!value.isTextual || value.textValue().isEmpty()) fail(name, "must be a text")
        return value.textValue()
    }

    /** A number, zero or above. */
    fun amount(name: String): Double {
        val value = required(name)
        if (!value.isNumber || !value.doubleValue().isFinite() || value.doubleValue() < 0) fail(name, "must be a number, zero at least")
        return value.doubleValue()
    }

    /** A number above zero. */
    fun positive(name: String) = amount(name).also { if (it <= 0) fail(name, "must be above zero") }

    /** A text of the form host:port. */
    fun address(name: String) = Address.parse(text(name)) ?: fail(name, "must be host:port")

    private fun key(name: String) = if (path.isEmpty()) name else "$path.$name"

    private fun required(name: String) = node.get(name)?.takeUnless { it.isNull } ?: fail(name, "is missing")
}
