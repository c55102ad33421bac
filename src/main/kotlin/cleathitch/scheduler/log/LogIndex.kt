package cleathitch.scheduler.log

import kotlinx.serialization.Serializable

/** The position of a record in the decision log, starting at 1. */
@Serializable
@JvmInline
value class LogIndex(val number: Long) : Comparable<LogIndex> {
    override fun compareTo(other: LogIndex) = number.compareTo(other.number)
    override fun toString() = number.toString()

    /** The position after this one. */
    operator fun next() = LogIndex(number + 1)

    companion object {
        /** The position before the first record. */
        val NONE = LogIndex(0)
    }
}
