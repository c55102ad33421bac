package cleathitch.core

import kotlinx.serialization.Serializable

/** A job's name, chosen by its user. */
@JvmInline
@Serializable
value class JobId(val text: String) {
    override fun toString() = text
}

/** A machine's name, chosen by the cloud. */
@JvmInline
@Serializable
value class MachineId(val text: String) : Comparable<MachineId> {
    override fun compareTo(other: MachineId) = text.compareTo(other.text)
    override fun toString() = text
}

/** One task of a job. */
@Serializable
data class TaskId(val job: JobId, val index: Int) {
    override fun toString() = "$job/$index"
}

/**
 * One start of a task. Numbers rise within a job and are never used twice, so a message about an
 * earlier start can't be taken for one about the present.
 */
@Serializable
data class AttemptId(val task: TaskId, val number: Long) {
    override fun toString() = "$task#$number"
}

/** The revision at which the leader's key was created; it rises with every leader. */
@JvmInline
value class Term(val revision: Long)

/** The place of a record in the journal. */
@JvmInline
value class Seq(val number: Long) : Comparable<Seq> {
    override fun compareTo(other: Seq) = number.compareTo(other.number)
    operator fun next() = Seq(number + 1)

    companion object {
        val NONE = Seq(0)
    }
}

/**
 * The version that a message to a worker carries: the paper's (cursorTS, count) in one integer.
 *
 * The cursor is the revision of the term's key or of the last record committed in that term. As a
 * new term's revision exceeds that of every record of older terms (each of which was guarded by the
 * older key), comparing (cursor, count) compares (term, cursor, count).
 *
 * Bounds: [COUNT_BITS] bits of count leave 63 - 20 = 43 bits of revision, 8.8e12 changes, which is
 * 279 years at 1,000 changes a second; a million orders fit between two records, and the engine
 * commits a record before the count runs out.
 */
@JvmInline
value class OrderVersion(val packed: Long) : Comparable<OrderVersion> {
    override fun compareTo(other: OrderVersion) = packed.compareTo(other.packed)
    fun next() = OrderVersion(packed + 1)
    val countLeft: Long get() = MAX_COUNT - (packed and MAX_COUNT)
    override fun toString() = "${packed shr COUNT_BITS}.${packed and MAX_COUNT}"

    companion object {
        private const val COUNT_BITS = 20
        private const val MAX_COUNT = (1L shl COUNT_BITS) - 1
        val NONE = OrderVersion(0)

        fun first(cursor: Long): OrderVersion {
            require(cursor in 0 until (1L shl (63 - COUNT_BITS))) { "revision $cursor is out of range" }
            return OrderVersion(cursor shl COUNT_BITS)
        }
    }
}

/** An open request, known to the outside by this number alone. */
@JvmInline
value class RequestId(val number: Long)
