package cleathitch.storage

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MessageCodec
import cleathitch.protocol.Transaction
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.LogKeys
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.model.StoreLimits
import com.fasterxml.jackson.databind.JsonNode

/** The key-value store's limits on a transaction, to the byte: sizes are those of the JSON form. */
object TransactionLimits {
    private const val MAX_KEY_BYTES = 200
    private const val CONDITIONS_PER_OPERATION = 4

    /** The first limit that [transaction], a decoded request body, exceeds; null if it exceeds none. */
    fun violation(transaction: JsonNode, limits: StoreLimits): String? {
        val conditions = transaction.path("guards")
        val changes = transaction.path("apply")
        val bytes = MessageCodec.jsonBytes(transaction)
        return when {
            bytes > limits.transactionBytes -> "transaction of $bytes bytes, limit ${limits.transactionBytes}"
            changes.size() > limits.operations -> "transaction of ${changes.size()} operations, limit ${limits.operations}"
            conditions.size() > limits.operations * CONDITIONS_PER_OPERATION -> "transaction of ${conditions.size()} conditions"
            else -> changes.firstNotNullOfOrNull { violationOfChange(it, limits) }
        }
    }

    private fun violationOfChange(change: JsonNode, limits: StoreLimits): String? {
        val key = (change.get("put") ?: change.get("delete")).textValue()
        val keyBytes = key.toByteArray().size
        val valueBytes = change.get("data")?.let(MessageCodec::jsonBytes) ?: 0
        return when {
            keyBytes !in 1..MAX_KEY_BYTES || ' ' in key -> "key of $keyBytes bytes: $key"
            valueBytes > limits.valueBytes -> "value of $valueBytes bytes at $key, limit ${limits.valueBytes}"
            else -> null
        }
    }

    /** The first limit that [commit] exceeds as the transaction of a leader with the longest numbers; null if it exceeds none. */
    fun violation(commit: Commit, limits: StoreLimits): String? = violation(MessageCodec.decodeMap(transaction(commit).body), limits)

    /** The transaction that writes [commit], with the keys of the deployed service and the longest numbers. */
    fun transaction(commit: Commit) = Transaction(
        mapOf("leader/cleathitch" to Long.MAX_VALUE, "cleathitch/head" to Long.MAX_VALUE),
        commit.changes.flatMap(::writes),
    )

    private fun writes(change: Mutation): List<KeyValueStoreProtocol.Write> = when (change) {
        is Mutation.Delete -> listOf(KeyValueStoreProtocol.Write.Delete("cleathitch/" + change.key))
        is Mutation.Put -> LogCodec.encode(change.value, change.parts).mapIndexed { part, value ->
            val suffix = if (change.key.startsWith(LogKeys.JOB_PREFIX)) "/$part" else ""
            KeyValueStoreProtocol.Write.Put("cleathitch/" + change.key + suffix, value)
        }
    }
}
