package cleathitch.protocol

import cleathitch.scheduler.model.TransactionSize
import com.fasterxml.jackson.databind.node.ObjectNode

/**
 * A compare-and-swap, encoded once so that every attempt sends the same content: the store rejects it unless each key in
 * [expectedRevisions] has the revision given there. Revision 0 means that the key must not exist.
 */
class Transaction(expectedRevisions: Map<String, Long>, writes: List<KeyValueStoreProtocol.Write>) {
    private val message = MessageCodec.newMap()

    /** The encoded request body. */
    val body: ByteArray by lazy { MessageCodec.encode(message) }

    /** The quantities that the store's limits apply to. */
    val size: TransactionSize by lazy {
        val valueBytes = writes.filterIsInstance<KeyValueStoreProtocol.Write.Put>().associate { it.key to MessageCodec.jsonBytes(it.value) }
        val largest = valueBytes.maxByOrNull { it.value }
        TransactionSize(MessageCodec.jsonBytes(message), writes.size, largest?.value ?: 0, largest?.key)
    }

    init {
        val conditions = message.putArray("guards")
        expectedRevisions.forEach { (key, revision) -> conditions.addObject().put("k", key).put("retoque", revision) }
        val changes = message.putArray("apply")
        writes.forEach { putWrite(changes.addObject(), it) }
    }

    private fun putWrite(node: ObjectNode, write: KeyValueStoreProtocol.Write) {
        when (write) {
            is KeyValueStoreProtocol.Write.Put -> {
                node.put("put", write.key).set<ObjectNode>("data", write.value)
                if (write.lease != null) node.put("arriendo", write.lease)
            }
            is KeyValueStoreProtocol.Write.Delete -> node.put("delete", write.key)
        }
    }
}
