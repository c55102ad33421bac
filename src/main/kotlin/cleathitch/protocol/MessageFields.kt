package cleathitch.protocol

import com.fasterxml.jackson.databind.JsonNode

/*
 * Typed access to the fields of a message. A `required...` function throws MalformedMessageException if the field is missing or
 * null. Both `required...` and `optional...` functions for values of one type also throw it if the value is of another type. The
 * exception names the field.
 */

/** The maximum length of received text that an error message quotes. */
internal const val MAX_QUOTED_LENGTH = 100

/** Returns the field, or null if it is missing or null. */
internal fun JsonNode.optionalField(name: String): JsonNode? = get(name)?.takeUnless { it.isNull }

/** Returns the field, whatever its type. */
internal fun JsonNode.requiredField(name: String): JsonNode = optionalField(name) ?: throw MalformedMessageException("$name is missing")

/** Returns the string value of the field. */
internal fun JsonNode.requiredText(name: String): String = optionalText(name) ?: throw MalformedMessageException("$name is missing")

/**
 * The maximum length of a name that is received: of a job's class, a team, an image, a machine, a machine type or a zone. Names are
 * stored, so a longer one could make a record too large for the key-value store.
 */
internal const val MAX_NAME_LENGTH = 256

/** Returns the string value of the field, which must have from 1 to [MAX_NAME_LENGTH] characters. */
internal fun JsonNode.requiredName(name: String): String {
    val text = requiredText(name)
    if (text.isEmpty() || text.length > MAX_NAME_LENGTH) {
        throw MalformedMessageException("$name must have from 1 to $MAX_NAME_LENGTH characters, but has ${text.length}")
    }
    return text
}

/** Returns the string value of the field, or null if it is missing or null. */
internal fun JsonNode.optionalText(name: String): String? {
    val node = optionalField(name) ?: return null
    if (!node.isTextual) throw MalformedMessageException("$name must be a string, but is ${node.nodeType}")
    return node.textValue()
}

/** Returns the field as a boolean. */
internal fun JsonNode.requiredBoolean(name: String): Boolean {
    val node = requiredField(name)
    if (!node.isBoolean) throw MalformedMessageException("$name must be a boolean, but is ${node.nodeType}")
    return node.booleanValue()
}

/** Returns the field as a 64-bit signed integer. */
internal fun JsonNode.requiredLong(name: String): Long {
    val node = requiredField(name)
    if (!node.isIntegralNumber || !node.canConvertToLong()) {
        throw MalformedMessageException(
            "$name must be a 64-bit signed integer, but is ${node.asText().take(MAX_QUOTED_LENGTH)} (${node.nodeType})",
        )
    }
    return node.longValue()
}

/** Returns the field as a finite number. */
internal fun JsonNode.requiredDouble(name: String): Double = optionalDouble(name) ?: throw MalformedMessageException("$name is missing")

/** Returns the field as a finite number, or null if it is missing or null. */
internal fun JsonNode.optionalDouble(name: String): Double? {
    val node = optionalField(name) ?: return null
    if (!node.isNumber) throw MalformedMessageException("$name must be a number, but is ${node.nodeType}")
    val value = node.doubleValue()
    if (!value.isFinite()) throw MalformedMessageException("$name must be a finite number, but is $value")
    return value
}

/** Returns the items of the field, which must be a list. */
internal fun JsonNode.requiredList(name: String): List<JsonNode> {
    val node = requiredField(name)
    if (!node.isArray) throw MalformedMessageException("$name must be a list, but is ${node.nodeType}")
    return node.toList()
}

/** Returns the items of the field, which must be a list of strings. */
internal fun JsonNode.requiredTexts(name: String): List<String> = requiredList(name).map {
    if (!it.isTextual) throw MalformedMessageException("$name must contain only strings, but contains ${it.nodeType}")
    it.textValue()
}

/** Returns the value to which [values] maps the field's string; throws [MalformedMessageException] if there is none. */
internal fun <T> JsonNode.requiredEnum(name: String, values: Map<String, T>): T {
    val text = requiredText(name)
    return values[text] ?: throw MalformedMessageException("$name has the unknown value ${text.take(MAX_QUOTED_LENGTH)}")
}
