package cleathitch.protocol

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode

/**
 * The messages of the key-value store's API. Every decoding function throws [MalformedMessageException] for a body that violates
 * the protocol.
 */
object KeyValueStoreProtocol {
    /** A key, its value and the store's revision at the key's last write. */
    class Entry(val key: String, val value: JsonNode, val revision: Long)

    /** One page of a list of keys as of [revision], ordered by key; [hasMore] if another page follows. */
    class Page(val entries: List<Entry>, val hasMore: Boolean, val revision: Long)

    /** The result of a watch: the keys that were written or deleted after the requested revision, up to and including [revision]. */
    class WatchResult(val revision: Long, val changes: List<String>)

    /** One change of a transaction. */
    sealed interface Write {
        /** Sets [key]. If a [lease] is given, the store deletes the key when the lease expires. */
        data class Put(val key: String, val value: ObjectNode, val lease: Long? = null) : Write

        /** Deletes [key]. */
        data class Delete(val key: String) : Write
    }

    /** Decodes one key with its value and revision. */
    fun entry(body: ByteArray): Entry = entryOf(MessageCodec.decodeMap(body))

    /** Decodes a page of keys. */
    fun page(body: ByteArray): Page {
        val map = MessageCodec.decodeMap(body)
        return Page(map.requiredList("entries").map(::entryOf), map.requiredBoolean("truncated"), map.requiredLong("asiento"))
    }

    /** Decodes the store's revision after a write. */
    fun revision(body: ByteArray): Long = MessageCodec.decodeMap(body).requiredLong("asiento")

    /** Decodes the id of a new lease. */
    fun lease(body: ByteArray): Long = MessageCodec.decodeMap(body).requiredLong("arriendo")

    /** Decodes the response to a rejected transaction: the keys that didn't have the expected revision. */
    fun failedKeys(body: ByteArray): List<String> = MessageCodec.decodeMap(body).requiredTexts("failed")

    /** Decodes the reason for which a request was rejected; null if the store gave none. */
    fun errorText(body: ByteArray): String? = MessageCodec.decodeMap(body).optionalText("error")

    /** Decodes the response to a watch. */
    fun watchResult(body: ByteArray): WatchResult {
        val map = MessageCodec.decodeMap(body)
        return WatchResult(
            map.requiredLong("asiento"),
            map.requiredList("log").mapNotNull {
                it.optionalText("put") ?: it.optionalText("delete")
            },
        )
    }

    /** Encodes a request for a lease with a time to live of [ttlMs] milliseconds. */
    fun leaseRequest(ttlMs: Long): ByteArray = MessageCodec.encode(MessageCodec.newMap().put("ttlMs", ttlMs))

    private fun entryOf(node: JsonNode) = Entry(node.requiredText("k"), node.requiredField("data"), node.requiredLong("retoque"))
}
