package cleathitch.storage

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.Transaction
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LiveAttempt
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.LogKeys
import cleathitch.scheduler.log.StoredSizes
import cleathitch.scheduler.log.StoredValue
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Term

/**
 * The sizes of commits as [LogStorage] writes them, for logs under [keyPrefix] and a leader's key of [leaderKey]. They are those of the
 * encoded form, except that numbers whose value isn't known yet count with the most digits that they can have.
 */
class LogSizes(private val keyPrefix: String, leaderKey: String) : StoredSizes {
    override val headTransactionBytes: Int = run {
        val headKey = keyPrefix + LogKeys.HEAD
        val head = LogCodec.encode(StoredValue.Head(LogIndex(Long.MAX_VALUE), Term(Long.MAX_VALUE)), parts = 1).single()
        val expectedRevisions = mapOf(leaderKey to Long.MAX_VALUE, headKey to Long.MAX_VALUE)
        Transaction(expectedRevisions, listOf(KeyValueStoreProtocol.Write.Put(headKey, head))).size.bytes
    }

    override fun encodedBytes(value: StoredValue): Int = LogCodec.encodedBytes(value)

    // The events of tasks are by far the most frequent ones, so their sizes are calculated instead of encoding them once more.
    override fun encodedBytes(event: Event): Int = when (event) {
        is Event.AttemptStarted ->
            START_BYTES + extraBytes(event.job.text) + extraBytes(event.taskIndex.toLong()) + extraBytes(event.number) +
                extraBytes(event.machine.text)
        is Event.AttemptTerminated ->
            TERMINATION_BYTES + extraBytes(event.job.text) + extraBytes(event.taskIndex.toLong()) + extraBytes(event.number)
        is Event.TaskCompleted ->
            COMPLETION_BYTES + extraBytes(event.job.text) + extraBytes(event.taskIndex.toLong()) + extraBytes(event.number)
        is Event.JobAccepted, is Event.JobCancelled, is Event.InventoryEvent -> LogCodec.encodedBytes(event)
    }

    override fun encodedBytes(attempt: LiveAttempt): Int =
        LIVE_ATTEMPT_BYTES + extraBytes(attempt.taskIndex.toLong()) + extraBytes(attempt.number) + extraBytes(attempt.machine.text)

    override fun encodedBytes(id: JobId): Int = 1 + extraBytes(id.text)

    override fun valueBytes(encodedBytes: Int): Int = EMPTY_VALUE_BYTES + textLength(encodedBytes)

    override fun partsFor(encodedBytes: Int, maxValueBytes: Int): Int {
        val maxTextLength = maxOf(1, maxValueBytes - EMPTY_VALUE_BYTES)
        return (textLength(encodedBytes) + maxTextLength - 1) / maxTextLength
    }

    override fun putBytes(keys: List<String>, encodedBytes: Int): Int =
        textLength(encodedBytes) + keys.sumOf { EMPTY_PUT_BYTES + keyBytes(it) }

    override fun deleteBytes(key: String): Int = EMPTY_DELETE_BYTES + keyBytes(key)

    private fun keyBytes(key: String) = keyPrefix.length + key.length

    private companion object {
        private val NO_JOB = JobId("")
        private val NO_MACHINE = MachineId("")
        private val START_BYTES = LogCodec.encodedBytes(Event.AttemptStarted(NO_JOB, 0, 0, NO_MACHINE))
        private val TERMINATION_BYTES = LogCodec.encodedBytes(Event.AttemptTerminated(NO_JOB, 0, 0))
        private val COMPLETION_BYTES = LogCodec.encodedBytes(Event.TaskCompleted(NO_JOB, 0, 0))
        private val LIVE_ATTEMPT_BYTES = LogCodec.encodedBytes(LiveAttempt(0, 0, NO_MACHINE))

        private val EMPTY_VALUE_BYTES = LogCodec.valueBytes(textLength = 0)
        private val EMPTY_PUT = KeyValueStoreProtocol.Write.Put("", LogCodec.value(""))

        /** The bytes of a write of an empty value under an empty key, and of the comma before it. */
        private val EMPTY_PUT_BYTES = bytesAddedBy(EMPTY_PUT)

        /** The bytes of the deletion of an empty key, and of the comma before it. */
        private val EMPTY_DELETE_BYTES = bytesAddedBy(KeyValueStoreProtocol.Write.Delete(""))

        private fun bytesAddedBy(write: KeyValueStoreProtocol.Write): Int {
            val one = Transaction(emptyMap(), listOf(EMPTY_PUT)).size.bytes
            return Transaction(emptyMap(), listOf(EMPTY_PUT, write)).size.bytes - one
        }

        private const val BASE64_GROUP_BYTES = 3
        private const val BASE64_GROUP_CHARS = 4

        private fun textLength(encodedBytes: Int) = (encodedBytes + BASE64_GROUP_BYTES - 1) / BASE64_GROUP_BYTES * BASE64_GROUP_CHARS

        /** The bytes that CBOR needs for [text] in addition to those for an empty text. */
        private fun extraBytes(text: String): Int {
            val length = text.toByteArray(Charsets.UTF_8).size
            return length + extraBytes(length.toLong())
        }

        /** The bytes that CBOR needs for [number], which isn't negative, in addition to those for 0. */
        private fun extraBytes(number: Long): Int = when {
            number <= MAX_INLINE -> 0
            number <= MAX_ONE_BYTE -> 1
            number <= MAX_TWO_BYTES -> 2
            number <= MAX_FOUR_BYTES -> Int.SIZE_BYTES
            else -> Long.SIZE_BYTES
        }

        /** The largest numbers that CBOR encodes without additional bytes, and with one, two and four of them. */
        private const val MAX_INLINE = 23L
        private const val MAX_ONE_BYTE = 0xffL
        private const val MAX_TWO_BYTES = 0xffffL
        private const val MAX_FOUR_BYTES = 0xffff_ffffL
    }
}
