package cleathitch.protocol

import com.fasterxml.jackson.databind.JsonNode

/*
 * Typed access to the fields of a message. A `required...` field that is missing or null, and any field of another type,
 * is a MalformedMessageException that names the field.
 */

/** The field, or null if it is missing or null. */
internal fun JsonNode.optionalField(name: String): JsonNode? = get(name)?.takeUnless { it.isNull }

/** The field, of any type. */
internal fun JsonNode.requiredField(name: String): JsonNode = optionalField(name) ?: throw MalformedMessageException("$name is missing")

/** The text of the field. */
internal fun JsonNode.requiredText(name: String): String = optionalText(name) ?: throw MalformedMessageException("$name is missing")

/** The text of the field, or null if it is missing or null. */
internal fun JsonNode.optionalText(name: String): String? {
    val node = optionalField(name) ?: return null
    if (!node.isTextual) throw MalformedMessageException("$name isn't text")
    return node.textValue()
}

/** The field as a boolean. */
internal fun JsonNode.requiredBoolean(name: String): Boolean {
    val node = requiredField(name)
    if (!node.isBoolean) throw MalformedMessageException("$name isn't a boolean")
    return node.booleanValue()
}

/** The field as an integer of 64 bits. */
internal fun JsonNode.requiredLong(name: String): Long {
    val node = requiredField(name)
    if (!node.isIntegralNumber || !node.canConvertToLong()) throw MalformedMessageException("$name isn't an integer in range")
    return node.longValue()
}

/** The field as a finite number. */
internal fun JsonNode.requiredDouble(name: String): Double = optionalDouble(name) ?: throw MalformedMessageException("$name is missing")

/** The field as a finite number, or null if it is missing or null. */
internal fun JsonNode.optionalDouble(name: String): Double? {
    val node = optionalField(name) ?: return null
    if (!node.isNumber) throw MalformedMessageException("$name isn't a number")
    val value = node.doubleValue()
    if (!value.isFinite()) throw MalformedMessageException("$name isn't finite")
    return value
}

/** The items of the field, which is a list. */
internal fun JsonNode.requiredList(name: String): List<JsonNode> {
    val node = requiredField(name)
    if (!node.isArray) throw MalformedMessageException("$name isn't a list")
    return node.toList()
}

/** The items of the field, which is a list of texts. */
internal fun JsonNode.requiredTexts(name: String): List<String> = requiredList(name).map {
    if (!it.isTextual) throw MalformedMessageException("$name holds something else than text")
    it.textValue()
}

/** The value that [values] gives for the field's text; text that isn't in [values] is malformed. */
internal fun <T> JsonNode.requiredChoice(name: String, values: Map<String, T>): T {
    val text = requiredText(name)
    return values[text] ?: throw MalformedMessageException("$name $text is unknown")
}
