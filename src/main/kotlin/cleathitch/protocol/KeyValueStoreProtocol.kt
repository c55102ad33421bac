package cleathitch.protocol

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode

/** What the state service and the controllers say to each other. */
object KeyValueStoreProtocol {
    class Entry(val key: String, val value: JsonNode, val revision: Long)

    class Page(val entries: List<Entry>, val more: Boolean, val revision: Long)

    class Watched(val revision: Long, val changes: List<String>)

    sealed interface Write {
        data class Put(val key: String, val value: ObjectNode, val lease: Long? = null) : Write
        data class Delete(val key: String) : Write
    }

    fun entry(body: ByteArray): Entry = entryOf(MessageCodec.decodeMap(body))

    fun page(body: ByteArray): Page {
        val map = MessageCodec.decodeMap(body)
        return Page(map.list("entries").map(::entryOf), map.bool("truncated"), map.whole("asiento"))
    }

    fun revision(body: ByteArray): Long = MessageCodec.decodeMap(body).whole("asiento")

    fun lease(body: ByteArray): Long = MessageCodec.decodeMap(body).whole("arriendo")

    fun failedKeys(body: ByteArray): List<String> = MessageCodec.decodeMap(body).texts("failed")

    fun errorText(body: ByteArray): String? = MessageCodec.decodeMap(body).optionalText("error")

    fun watched(body: ByteArray): Watched {
        val map = MessageCodec.decodeMap(body)
        return Watched(map.whole("asiento"), map.list("log").mapNotNull { it.optionalText("put") ?: it.optionalText("delete") })
    }

    fun ttl(ms: Long): ByteArray = MessageCodec.encode(MessageCodec.newMap().put("ttlMs", ms))

    /** [guards] name the revisions that keys must have; 0: the key must not exist. */
    fun transaction(guards: Map<String, Long>, writes: List<Write>): ByteArray {
        val map = MessageCodec.newMap()
        val conditions = map.putArray("guards")
        guards.forEach { (key, revision) -> conditions.addObject().put("k", key).put("retoque", revision) }
        val changes = map.putArray("apply")
        for (write in writes) {
            val node = changes.addObject()
            when (write) {
                is Write.Put -> {
                    node.put("put", write.key).set<ObjectNode>("data", write.value)
                    if (write.lease != null) node.put("arriendo", write.lease)
                }
                is Write.Delete -> node.put("delete", write.key)
            }
        }
        return MessageCodec.encode(map)
    }

    private fun entryOf(node: JsonNode) = Entry(node.text("k"), node.need("data"), node.whole("retoque"))
}
