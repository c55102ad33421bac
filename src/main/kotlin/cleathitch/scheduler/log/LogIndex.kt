package cleathitch.scheduler.log

import kotlinx.serialization.Serializable

/** The position of a record in the decision log, counted from 1. */
@Serializable
@JvmInline
value class LogIndex(val number: Long) : Comparable<LogIndex> {
    override fun compareTo(other: LogIndex) = number.compareTo(other.number)
    override fun toString() = number.toString()

    /** The position behind this one. */
    operator fun next() = LogIndex(number + 1)

    companion object {
        /** Before the first record. */
        val NONE = LogIndex(0)
    }
}
