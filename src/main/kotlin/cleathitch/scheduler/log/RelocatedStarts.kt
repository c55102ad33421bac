package cleathitch.scheduler.log

/**
 * The record of a commit that takes over the starts of live attempts from older records. It has to fit into one value of at most
 * [maxValueBytes].
 */
internal class RelocatedStarts(private val index: LogIndex, private val sizes: StoredSizes, private val maxValueBytes: Int) {
    private val starts = ArrayList<Event.AttemptStarted>()
    private var encodedBytes = sizes.encodedBytes(StoredValue.Record(LogRecord(emptyList())))

    val events: List<Event.AttemptStarted> get() = starts

    /** Whether the record still fits into a value with [additionalBytes] of further events. */
    fun hasRoomFor(additionalBytes: Int) = sizes.valueBytes(encodedBytes + additionalBytes) <= maxValueBytes

    /** What [additionalBytes] of further events add to the transaction. */
    fun growth(additionalBytes: Int): ChangeSize {
        val grown = sizes.putSize(LogKeys.record(index), encodedBytes + additionalBytes)
        if (starts.isEmpty()) return grown
        return ChangeSize(grown.bytes - sizes.putSize(LogKeys.record(index), encodedBytes).bytes, operations = 0)
    }

    /** What [events] add to the transaction. */
    fun growth(events: List<Event.AttemptStarted>) = if (events.isEmpty()) ChangeSize(0, 0) else growth(events.sumOf(sizes::encodedBytes))

    /** Adds [events] to the record. */
    fun add(events: List<Event.AttemptStarted>) {
        starts += events
        encodedBytes += events.sumOf(sizes::encodedBytes)
    }
}
