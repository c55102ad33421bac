package cleathitch.scheduler.log

import cleathitch.scheduler.model.Term
import java.util.TreeMap

/**
 * The write-ahead log of the scheduler's decisions. Events are appended to pending records; a commit writes pending records to the
 * key-value store and optionally compacts older records into snapshots. At most one commit is in flight at a time.
 *
 * Owned by the scheduler and confined to the leader's event loop. It does no I/O: [nextCommit] returns the commit to write, and
 * [recordCommitted] confirms that the key-value store has applied it. Compaction changes the state in memory only after that confirmation.
 */
class DecisionLog(private val storeHealth: StoreHealth, private val sizes: StoredSizes) {
    /** A record that isn't committed yet. No record has an index from [firstFreeIndex] to the one before [index]. */
    private inner class PendingRecord(val firstFreeIndex: LogIndex, val index: LogIndex) {
        val events = ArrayList<Event>()
        private var encodedBytes = emptyRecordBytes

        /** What writing the record adds to a transaction. */
        val size get() = sizes.putSize(LogKeys.record(index), encodedBytes)

        val exceedsLimits get() = sizes.valueBytes(encodedBytes) > maxRecordBytes()

        fun hasRoomFor(eventBytes: Int) = sizes.valueBytes(encodedBytes + eventBytes) <= maxRecordBytes()

        fun add(event: Event, eventBytes: Int) {
            events += event
            encodedBytes += eventBytes
        }
    }

    private class InFlightCommit(val index: LogIndex, val records: List<PendingRecord>, val compaction: CompactionPlan?)

    /** The limits within which commits are planned; records that are already pending may be larger than reduced limits permit. */
    private val limits get() = storeHealth.limits
    private val emptyRecordBytes = sizes.encodedBytes(StoredValue.Record(LogRecord(emptyList())))
    private val pendingRecords = ArrayDeque<PendingRecord>()
    private var inFlight: InFlightCommit? = null
    private var lastIndex = LogIndex.NONE

    /** The index of the last commit that the key-value store is known to have applied. */
    var committedIndex = LogIndex.NONE
        private set

    /** The records in the key-value store that compaction hasn't deleted yet. */
    private val retainedRecords = TreeMap<LogIndex, RetainedRecord>()

    private val storedSnapshots = StoredSnapshots()

    /** Whether no commit is in flight. */
    val isIdle get() = inFlight == null
    val hasPendingRecords get() = pendingRecords.isNotEmpty()
    val pendingRecordCount get() = pendingRecords.size

    /**
     * Whether the last commit left records uncompacted although compaction was requested: either compaction reached its limits, or it
     * was skipped because further records were pending.
     */
    var isCompactionIncomplete = false
        private set

    /** The values that the last compaction left out because they are too large for any transaction. */
    var oversizedValues: List<OversizedValue> = emptyList()
        private set

    /** Restores the log's state from what a new leader read from the key-value store. */
    fun restore(recovered: RecoveredState) {
        lastIndex = recovered.head
        committedIndex = recovered.head
        recovered.records.forEach { retainedRecords[it.index] = RetainedRecord(it.record.events) }
        storedSnapshots.restore(recovered)
    }

    /** Whether a stored snapshot already includes [event] of record [index], so that replay must skip it. */
    fun isInSnapshot(event: Event, index: LogIndex): Boolean = index <= storedSnapshots.lastIncludedIndex(LogKeys.snapshotOf(event))

    /** Appends [event] to a pending record and returns the index of that record. */
    fun append(event: Event): LogIndex {
        val eventBytes = sizes.encodedBytes(event)
        val record = pendingRecords.lastOrNull()?.takeIf { it.hasRoomFor(eventBytes) } ?: beginRecord()
        record.add(event, eventBytes)
        return record.index
    }

    /** The bytes by which a record that contains only [event] exceeds what can be stored; 0 if the event can be stored. */
    fun excessBytes(event: Event): Int = maxOf(0, sizes.valueBytes(emptyRecordBytes + sizes.encodedBytes(event)) - maxRecordBytes())

    /** A record has to fit into a value, and beside the head into a commit of its own. */
    private fun maxRecordBytes() = minOf(limits.valueBytes, (limits.transactionBytes * RECORDS_SHARE).toInt())

    /**
     * Begins a new record if [starts] don't fit into the current record but fit into an empty one, so that the starts of a gang are
     * stored in the same record.
     */
    fun reserveSpaceFor(starts: List<Event.AttemptStarted>) {
        val bytes = starts.sumOf(sizes::encodedBytes)
        val current = pendingRecords.lastOrNull() ?: return
        if (!current.hasRoomFor(bytes) && sizes.valueBytes(emptyRecordBytes + bytes) <= maxRecordBytes()) beginRecord()
    }

    private fun beginRecord(): PendingRecord {
        val firstFreeIndex = lastIndex.next()
        lastIndex = if (storeHealth.isReduced) LogIndex(lastIndex.number + INDEXES_PER_SPLIT_RECORD) else firstFreeIndex
        val record = PendingRecord(firstFreeIndex, lastIndex)
        pendingRecords.addLast(record)
        return record
    }

    /**
     * Returns the next commit, which is then in flight; null if another commit is in flight or there is nothing to write. The commit
     * includes up to [maxCompactionChanges] changes for compaction; 0 disables compaction.
     */
    fun nextCommit(term: Term, jobs: LoggedJobs, inventorySnapshot: (LogIndex) -> InventorySnapshot, maxCompactionChanges: Int): Commit? {
        if (inFlight != null) return null
        val isCompactionRequested = maxCompactionChanges > 0
        if (pendingRecords.isEmpty() && (!isCompactionRequested || retainedRecords.isEmpty())) {
            isCompactionIncomplete = false
            return null
        }
        val space = TransactionSpace(sizes, limits)
        val records = takePendingRecords(space)
        val index = records.lastOrNull()?.index ?: lastIndex.next()
        // Snapshots capture the state in memory, which includes the events of pending records. If records remain pending, a
        // snapshot would be newer than this commit, so nothing is compacted.
        val canCompact = isCompactionRequested && pendingRecords.isEmpty() && records.none { it.exceedsLimits }
        val compaction = if (canCompact) planCompaction(index, space, jobs, inventorySnapshot, maxCompactionChanges) else null
        oversizedValues = compaction?.oversized.orEmpty()
        if (records.isEmpty() && compaction?.isEmpty != false) {
            // Nothing can be compacted, and another attempt wouldn't find more space.
            isCompactionIncomplete = false
            return null
        }
        isCompactionIncomplete = compaction?.isIncomplete ?: isCompactionRequested
        return begin(term, index, records, compaction)
    }

    private fun begin(term: Term, index: LogIndex, records: List<PendingRecord>, compaction: CompactionPlan?): Commit {
        val relocated = compaction?.relocatedStarts.orEmpty()
        val commitIndex = if (relocated.isEmpty()) index else index.next()
        lastIndex = maxOf(lastIndex, commitIndex)
        inFlight = InFlightCommit(commitIndex, records, compaction)
        val changes = ArrayList<Mutation>()
        changes += Mutation.Put(LogKeys.HEAD, StoredValue.Head(commitIndex, term))
        records.mapTo(changes) { putRecord(it.index, it.events.toList()) }
        if (relocated.isNotEmpty()) changes += putRecord(commitIndex, relocated.toList())
        if (compaction != null) changes += compaction.changes()
        return Commit(commitIndex, changes)
    }

    private fun putRecord(index: LogIndex, events: List<Event>) = Mutation.Put(LogKeys.record(index), StoredValue.Record(LogRecord(events)))

    /** Removes and returns as many pending records as fit into their share of a transaction, at least one if there are any. */
    private fun takePendingRecords(space: TransactionSpace): List<PendingRecord> {
        val records = ArrayList<PendingRecord>()
        val maxBytes = limits.transactionBytes * RECORDS_SHARE
        var bytes = 0
        while (pendingRecords.isNotEmpty() && records.size < maxOf(1, limits.operations / RECORD_OPS_DIVISOR)) {
            val size = pendingRecords.first().size
            bytes += size.bytes
            if (records.isNotEmpty() && bytes > maxBytes) break
            space.add(size)
            records += pendingRecords.removeFirst()
        }
        return records
    }

    private fun planCompaction(
        index: LogIndex,
        space: TransactionSpace,
        jobs: LoggedJobs,
        inventorySnapshot: (LogIndex) -> InventorySnapshot,
        maxChanges: Int,
    ): CompactionPlan {
        // Only records of earlier commits are compacted, not those that this commit writes.
        val earlierRecords = retainedRecords.headMap(index, false)
        val planLimits = CompactionPlan.Limits(maxChanges, limits)
        val plan = CompactionPlan(index, planLimits, space, earlierRecords, jobs, sizes, inventorySnapshot, storedSnapshots)
        plan.addRecords()
        return plan
    }

    /**
     * Called when the key-value store has applied the commit in flight, whose index is [index]: marks its records as committed and
     * completes its compaction in memory.
     */
    fun recordCommitted(index: LogIndex, jobs: LoggedJobs) {
        val commit = endCommit(index)
        committedIndex = index
        commit.records.forEach { retainedRecords[it.index] = RetainedRecord(it.events) }
        commit.compaction?.let { applyCompaction(it, index, jobs) }
    }

    /**
     * Called when the key-value store has rejected the commit in flight, whose index is [index], so that it will never be applied: its
     * records are pending again, and those that exceed the limits are split. Returns whether the next commit is smaller.
     *
     * A record is split into records with lower indexes, which were left free for that. So its events stay in order, and whoever
     * waits for the record still waits for all of them.
     */
    fun recordRejected(index: LogIndex): Boolean {
        val commit = endCommit(index)
        val wasShared = commit.records.size > 1 || commit.compaction?.isEmpty == false
        val pending = commit.records + pendingRecords
        pendingRecords.clear()
        val isFirstSplit = commit.records.firstOrNull()?.let { split(it).size > 1 } == true
        pending.flatMapTo(pendingRecords, ::split)
        return wasShared || isFirstSplit
    }

    /** Splits [record] into as many records as its events need under the [limits] and as it has indexes for. */
    private fun split(record: PendingRecord): List<PendingRecord> {
        if (!record.exceedsLimits) return listOf(record)
        val pieces = ArrayList<List<Event>>()
        var piece = PendingRecord(record.firstFreeIndex, record.index)
        for (event in record.events) {
            val eventBytes = sizes.encodedBytes(event)
            val hasFreeIndex = pieces.size < record.index.number - record.firstFreeIndex.number
            if (!piece.hasRoomFor(eventBytes) && piece.events.isNotEmpty() && hasFreeIndex) {
                pieces += piece.events
                piece = PendingRecord(record.firstFreeIndex, record.index)
            }
            piece.add(event, eventBytes)
        }
        pieces += piece.events
        return spread(pieces, record)
    }

    /** Records with the events of [pieces], at indexes that are spread evenly over those of [record]; the last one keeps its index. */
    private fun spread(pieces: List<List<Event>>, record: PendingRecord): List<PendingRecord> {
        val indexes = record.index.number - record.firstFreeIndex.number + 1
        var nextFree = record.firstFreeIndex
        return pieces.mapIndexed { position, events ->
            val index = LogIndex(record.firstFreeIndex.number + indexes * (position + 1) / pieces.size - 1)
            val piece = PendingRecord(nextFree, index)
            events.forEach { piece.add(it, sizes.encodedBytes(it)) }
            nextFree = index.next()
            piece
        }
    }

    private fun endCommit(index: LogIndex): InFlightCommit {
        val commit = inFlight
        check(commit != null && commit.index == index) { "commit $index has ended, but the commit in flight is ${commit?.index}" }
        inFlight = null
        return commit
    }

    private fun applyCompaction(plan: CompactionPlan, index: LogIndex, jobs: LoggedJobs) {
        plan.deletedRecords.forEach(retainedRecords::remove)
        storedSnapshots.recordCompaction(plan)
        plan.archivedJobs.forEach { jobs.archive(it.id) }
        if (plan.relocatedStarts.isEmpty()) return
        retainedRecords[index] = RetainedRecord(plan.relocatedStarts)
        plan.relocatedStarts.forEach { jobs.relocateStart(it, index) }
    }

    private companion object {
        /** The fraction of a transaction that its records may take; the rest is left for compaction. */
        const val RECORDS_SHARE = 0.4

        /** The indexes that a record gets while the store's limits are reduced, so that it can be split after another rejection. */
        const val INDEXES_PER_SPLIT_RECORD = 64

        /** The maximum number of operations in a transaction is divided by this to obtain the maximum number of records in a commit. */
        const val RECORD_OPS_DIVISOR = 4
    }
}
