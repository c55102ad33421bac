package cleathitch.protocol

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
    val size: TransactionSize by lazy { TransactionSize.of(MessageCodec.jsonBytes(message), writes) }

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

/**
 * The size of a transaction in the terms of the store's limits, which count the JSON form of a message.
 *
 * @property bytes the whole transaction
 * @property operations the number of writes and deletions
 * @property largestValueBytes the largest value that the transaction writes
 * @property largestKey the key of that value, null if the transaction writes none
 */
data class TransactionSize(val bytes: Int, val operations: Int, val largestValueBytes: Int, val largestKey: String?) {
    internal companion object {
        fun of(bytes: Int, writes: List<KeyValueStoreProtocol.Write>): TransactionSize {
            val valueBytes = writes.filterIsInstance<KeyValueStoreProtocol.Write.Put>().associate {
                it.key to
                    MessageCodec.jsonBytes(it.value)
            }
            val largest = valueBytes.maxByOrNull { it.value }
            return TransactionSize(bytes, writes.size, largest?.value ?: 0, largest?.key)
        }
    }
}
