package cleathitch.storage

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MalformedMessageException
import cleathitch.protocol.MessageCodec
import cleathitch.protocol.requiredLong
import cleathitch.protocol.requiredText
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.FinishedJobsSnapshot
import cleathitch.scheduler.log.InventorySnapshot
import cleathitch.scheduler.log.JobSnapshot
import cleathitch.scheduler.log.LiveAttempt
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.LogRecord
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.log.StoredValue
import cleathitch.scheduler.model.Term
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import java.util.Base64

/**
 * Encodes and decodes the stored format of the decision log. The head is a plain map. Every other value is a map with a single field
 * that holds Base64-encoded CBOR, because the key-value store's values cannot hold binary data. Running clusters hold data in this
 * format, so it must not change.
 */
@OptIn(ExperimentalSerializationApi::class)
object LogCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }
    private const val CBOR_FIELD = "cbor"
    private const val HEAD_INDEX_FIELD = "seq"
    private const val HEAD_TERM_FIELD = "term"

    /** Encodes [value], split into the given number of [parts]; the head is never split. */
    fun encode(value: StoredValue, parts: Int): List<ObjectNode> = when (value) {
        is StoredValue.Head -> listOf(encodeHead(value))
        is StoredValue.Record -> encode(LogRecord.serializer(), value.record, parts)
        is StoredValue.Job -> encode(JobSnapshot.serializer(), value.snapshot, parts)
        is StoredValue.Inventory -> encode(InventorySnapshot.serializer(), value.snapshot, parts)
        is StoredValue.FinishedJobs -> encode(FinishedJobsSnapshot.serializer(), value.snapshot, parts)
    }

    /** The number of bytes of [value] before it is encoded as text; the head has no such form. */
    internal fun encodedBytes(value: StoredValue): Int = when (value) {
        is StoredValue.Head -> throw IllegalArgumentException("the head isn't stored as CBOR")
        is StoredValue.Record -> cbor.encodeToByteArray(LogRecord.serializer(), value.record).size
        is StoredValue.Job -> cbor.encodeToByteArray(JobSnapshot.serializer(), value.snapshot).size
        is StoredValue.Inventory -> cbor.encodeToByteArray(InventorySnapshot.serializer(), value.snapshot).size
        is StoredValue.FinishedJobs -> cbor.encodeToByteArray(FinishedJobsSnapshot.serializer(), value.snapshot).size
    }

    /** The number of bytes that [event] adds to a record before it is encoded as text. */
    internal fun encodedBytes(event: Event): Int = cbor.encodeToByteArray(Event.serializer(), event).size

    /** The number of bytes that [attempt] adds to a job's snapshot before it is encoded as text. */
    internal fun encodedBytes(attempt: LiveAttempt): Int = cbor.encodeToByteArray(LiveAttempt.serializer(), attempt).size

    /** The stored form of [text], which is one part of a Base64-encoded value. */
    internal fun value(text: String): ObjectNode = MessageCodec.newMap().put(CBOR_FIELD, text)

    /** The number of bytes of [value] of a text of [textLength] characters. */
    internal fun valueBytes(textLength: Int): Int = MessageCodec.jsonBytes(value("")) + textLength

    private fun encodeHead(head: StoredValue.Head): ObjectNode =
        MessageCodec.newMap().put(HEAD_INDEX_FIELD, head.index.number).put(HEAD_TERM_FIELD, head.term.revision)

    private fun <T> encode(serializer: KSerializer<T>, value: T, parts: Int): List<ObjectNode> {
        val text = Base64.getEncoder().encodeToString(cbor.encodeToByteArray(serializer, value))
        return (0 until parts).map { part ->
            val start = text.length * part / parts
            val end = text.length * (part + 1) / parts
            value(text.substring(start, end))
        }
    }

    /** Decodes the head from [node]; throws [MalformedMessageException] if it is malformed. */
    fun decodeHead(node: JsonNode) =
        StoredValue.Head(LogIndex(node.requiredLong(HEAD_INDEX_FIELD)), Term(node.requiredLong(HEAD_TERM_FIELD)))

    /**
     * Decodes the recovered state from all [entries] of the decision log. Their keys are relative to the key prefix, as in
     * [cleathitch.scheduler.log.LogKeys]. Throws [MalformedMessageException] if a key or a field of a value is malformed,
     * [NumberFormatException] if the part number in the key of a job's snapshot is malformed, and the decoder's exceptions if the
     * content of a field cannot be decoded.
     */
    fun decodeRecoveredState(entries: List<KeyValueStoreProtocol.Entry>): RecoveredState {
        val builder = RecoveredStateBuilder()
        entries.forEach(builder::add)
        return builder.result()
    }

    /** Decodes a value that is stored in one part. */
    internal fun <T> decode(serializer: KSerializer<T>, node: JsonNode): T = decode(serializer, listOf(node))

    /** Decodes a value from its [parts], which must be in order. */
    internal fun <T> decode(serializer: KSerializer<T>, parts: List<JsonNode>): T {
        val text = parts.joinToString("") { it.requiredText(CBOR_FIELD) }
        return cbor.decodeFromByteArray(serializer, Base64.getDecoder().decode(text))
    }
}
