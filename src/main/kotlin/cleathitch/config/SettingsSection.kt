package cleathitch.config

import cleathitch.http.Address
import com.fasterxml.jackson.databind.JsonNode
import java.nio.file.Path

/**
 * One JSON object of the settings [file], at [path]. A value that is missing or of the wrong type causes an
 * [InvalidSettingsException] that names file, key and reason.
 */
internal class SettingsSection(private val file: Path, private val path: String, private val node: JsonNode) {
    /** Throws an [InvalidSettingsException] for the key [name]. */
    fun fail(name: String, reason: String): Nothing = throw InvalidSettingsException(file, key(name), reason)

    /** Returns an object. */
    fun section(name: String): SettingsSection {
        val value = required(name)
        if (!value.isObject) fail(name, "must be an object, but is ${value.nodeType}")
        return SettingsSection(file, key(name), value)
    }

    /** Returns a list of objects. */
    fun sections(name: String): List<SettingsSection> {
        val value = required(name)
        if (!value.isArray) fail(name, "must be a list, but is ${value.nodeType}")
        return value.mapIndexed { i, item ->
            if (!item.isObject) fail("$name[$i]", "must be an object, but is ${item.nodeType}")
            SettingsSection(file, key("$name[$i]"), item)
        }
    }

    /** Returns a list of strings. */
    fun texts(name: String): List<String> {
        val value = required(name)
        if (!value.isArray || value.any { !it.isTextual }) fail(name, "must be a list of strings, but is $value")
        return value.map { it.textValue() }
    }

    /** Returns a non-empty string. */
    fun text(name: String): String {
        val value = required(name)
        if (!value.isTextual || value.textValue().isEmpty()) fail(name, "must be a non-empty string, but is $value")
        return value.textValue()
    }

    /** Returns a number that is at least 0. */
    fun nonNegativeNumber(name: String): Double {
        val value = required(name)
        if (!value.isNumber || !value.doubleValue().isFinite() || value.doubleValue() < 0) {
            fail(name, "must be a number of at least 0, but is $value")
        }
        return value.doubleValue()
    }

    /** Returns a number that is greater than 0. */
    fun positiveNumber(name: String) = nonNegativeNumber(name).also { if (it <= 0) fail(name, "must be greater than 0, but is $it") }

    /** Returns an address of the form `host:port`. */
    fun address(name: String) = Address.parse(text(name)) ?: fail(name, "must be host:port, but is ${text(name)}")

    private fun key(name: String) = if (path.isEmpty()) name else "$path.$name"

    private fun required(name: String) = node.get(name)?.takeUnless { it.isNull } ?: fail(name, "is missing")
}
