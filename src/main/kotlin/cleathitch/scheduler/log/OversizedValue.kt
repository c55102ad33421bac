package cleathitch.scheduler.log

/**
 * A value that is too large for the key-value store: storing it under [key] takes [bytes], of which [maxBytes] are permitted. The records
 * that it would replace are kept instead.
 */
data class OversizedValue(val key: String, val bytes: Int, val maxBytes: Int)
