package cleathitch.scheduler.log

/** The place of a record in the journal. */
@JvmInline
value class LogIndex(val number: Long) : Comparable<LogIndex> {
    override fun compareTo(other: LogIndex) = number.compareTo(other.number)
    operator fun next() = LogIndex(number + 1)

    companion object {
        val NONE = LogIndex(0)
    }
}
