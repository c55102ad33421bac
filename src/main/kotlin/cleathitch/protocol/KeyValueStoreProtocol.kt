package cleathitch.protocol

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode

/**
 * The key-value store's messages. Every decoding function throws [MalformedMessageException] for a body that isn't as the
 * store's page says.
 */
object KeyValueStoreProtocol {
    /** A key with its value, and the store's revision at its last write. */
    class Entry(val key: String, val value: JsonNode, val revision: Long)

    /** A part of a list of keys as of [revision], in the order of the keys; [more] if another part follows. */
    class Page(val entries: List<Entry>, val more: Boolean, val revision: Long)

    /** The keys that were written or deleted up to [revision]. */
    class Watched(val revision: Long, val changes: List<String>)

    /** One change of a transaction. */
    sealed interface Write {
        /** Sets [key]; with a [lease] the key is deleted when that expires. */
        data class Put(val key: String, val value: ObjectNode, val lease: Long? = null) : Write

        /** Deletes [key]. */
        data class Delete(val key: String) : Write
    }

    /** Decodes one key. */
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

    /** Decodes the keys whose guards refused a transaction. */
    fun failedKeys(body: ByteArray): List<String> = MessageCodec.decodeMap(body).requiredTexts("failed")

    /** Decodes why a request was rejected; null if the store gave no text. */
    fun errorText(body: ByteArray): String? = MessageCodec.decodeMap(body).optionalText("error")

    /** Decodes the changes that a watch saw. */
    fun watched(body: ByteArray): Watched {
        val map = MessageCodec.decodeMap(body)
        return Watched(
            map.requiredLong("asiento"),
            map.requiredList("log").mapNotNull {
                it.optionalText("put") ?: it.optionalText("delete")
            },
        )
    }

    /** Encodes the request for a lease of [ms] milliseconds. */
    fun ttl(ms: Long): ByteArray = MessageCodec.encode(MessageCodec.newMap().put("ttlMs", ms))

    /** Encodes a compare-and-swap. [guards] give the revision that each key must have; 0 means that the key must not exist. */
    fun transaction(guards: Map<String, Long>, writes: List<Write>): ByteArray {
        val map = MessageCodec.newMap()
        val conditions = map.putArray("guards")
        guards.forEach { (key, revision) -> conditions.addObject().put("k", key).put("retoque", revision) }
        val changes = map.putArray("apply")
        writes.forEach { putWrite(changes.addObject(), it) }
        return MessageCodec.encode(map)
    }

    private fun putWrite(node: ObjectNode, write: Write) {
        when (write) {
            is Write.Put -> {
                node.put("put", write.key).set<ObjectNode>("data", write.value)
                if (write.lease != null) node.put("arriendo", write.lease)
            }
            is Write.Delete -> node.put("delete", write.key)
        }
    }

    private fun entryOf(node: JsonNode) = Entry(node.requiredText("k"), node.requiredField("data"), node.requiredLong("retoque"))
}
