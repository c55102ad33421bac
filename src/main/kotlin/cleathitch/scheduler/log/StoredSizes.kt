package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId

/**
 * The sizes of what a commit stores, as the key-value store counts them. Every value but the head consists of encoded bytes that are
 * stored as text, in one part or split into several. Implemented outside the log, which doesn't know the stored encoding.
 */
interface StoredSizes {
    /** The bytes of a transaction that writes nothing but the head, conditions included. */
    val headTransactionBytes: Int

    /** The encoded bytes of [value]; the head is never asked for. */
    fun encodedBytes(value: StoredValue): Int

    /** The encoded bytes that [event] adds to its record. */
    fun encodedBytes(event: Event): Int

    /** The encoded bytes that [attempt] adds to the snapshot of its job. */
    fun encodedBytes(attempt: LiveAttempt): Int

    /** The encoded bytes that [id] adds to a chunk of final states. */
    fun encodedBytes(id: JobId): Int

    /** The bytes of a value that holds [encodedBytes] in one part. */
    fun valueBytes(encodedBytes: Int): Int

    /** The number of parts into which [encodedBytes] have to be split so that no part is larger than [maxValueBytes]. */
    fun partsFor(encodedBytes: Int, maxValueBytes: Int): Int

    /** The bytes that writing [encodedBytes] under [keys], one part under each, adds to a transaction. */
    fun putBytes(keys: List<String>, encodedBytes: Int): Int

    /** The bytes that deleting [key] adds to a transaction. */
    fun deleteBytes(key: String): Int
}
