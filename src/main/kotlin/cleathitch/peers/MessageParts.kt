package cleathitch.peers

/** Divides what one controller sends to another into messages that the receiver accepts. */
internal object MessageParts {
    /** Half of [PeerClient.MAX_BODY_BYTES], because sizes are only estimated. */
    const val MAX_BYTES = PeerClient.MAX_BODY_BYTES / 2

    private const val MAX_UTF8_BYTES = 3
    private const val TEXT_HEADER_BYTES = 3

    /** Splits [items] in order, so that each part has at most [maxItems] and, unless it has only one, at most [MAX_BYTES]. */
    fun <T> split(items: List<T>, maxItems: Int, estimatedBytes: (T) -> Int): List<List<T>> {
        val parts = ArrayList<ArrayList<T>>()
        var bytes = 0
        for (item in items) {
            val itemBytes = estimatedBytes(item)
            if (parts.isEmpty() || parts.last().size == maxItems || bytes + itemBytes > MAX_BYTES) {
                parts += ArrayList<T>()
                bytes = 0
            }
            parts.last() += item
            bytes += itemBytes
        }
        return parts
    }

    /** An upper bound on the encoded bytes of [text]. */
    fun textBytes(text: String) = text.length * MAX_UTF8_BYTES + TEXT_HEADER_BYTES
}
