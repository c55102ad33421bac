package cleathitch.metrics

/**
 * The [text] as the value of a key in a log line: in quotation marks if it holds blanks, so that a line can be taken apart
 * at its blanks outside of them.
 */
fun logValue(text: String): String = if (text.any { it.isWhitespace() }) "\"${text.replace('"', '\'')}\"" else text
