package cleathitch.metrics

/**
 * Formats [text] as the value of a key in a log line: in quotation marks if it contains whitespace, so that a line can be split at
 * the whitespace outside of quotation marks.
 */
fun logValue(text: String): String = if (text.any { it.isWhitespace() }) "\"${text.replace('"', '\'')}\"" else text
