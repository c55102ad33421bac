package cleathitch.scheduler.log

import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.Term
import java.util.TreeMap

/**
 * The write-ahead log of the scheduler's decisions. Events are appended to pending records; a commit writes pending records to the
 * key-value store and optionally compacts older records into snapshots. At most one commit is in flight at a time.
 *
 * Owned by the scheduler and confined to the leader's event loop. It does no I/O: [nextCommit] returns the commit to write, and
 * [recordCommitted] confirms that the key-value store has applied it. Compaction changes the state in memory only after that confirmation.
 */
class DecisionLog(private val deployment: Deployment, private val sizes: SizeEstimator) {
    private class PendingRecord(val index: LogIndex) {
        val events = ArrayList<Event>()
        var bytes = 0
            private set

        fun add(event: Event, size: Int) {
            events += event
            bytes += size
        }
    }

    private class InFlightCommit(val index: LogIndex, val records: Map<LogIndex, RetainedRecord>, val compaction: CompactionPlan?)

    private val recordBytes = deployment.maxStoredValueBytes * RECORD_FILL
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
        val size = sizes.sizeOf(event)
        val record = pendingRecords.lastOrNull()?.takeIf { it.bytes + size <= recordBytes } ?: beginRecord()
        record.add(event, size)
        return record.index
    }

    /**
     * Begins a new record if [starts] don't fit into the current record but fit into an empty one, so that the starts of a gang are
     * stored in the same record.
     */
    fun reserveSpaceFor(starts: List<Event.AttemptStarted>) {
        val size = starts.sumOf(sizes::sizeOf)
        val current = pendingRecords.lastOrNull() ?: return
        if (size <= recordBytes && current.bytes + size > recordBytes) beginRecord()
    }

    private fun beginRecord(): PendingRecord {
        val record = PendingRecord(nextIndex())
        pendingRecords.addLast(record)
        return record
    }

    private fun nextIndex(): LogIndex {
        lastIndex = lastIndex.next()
        return lastIndex
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
        val records = takePendingRecords()
        val index = records.lastOrNull()?.index ?: nextIndex()
        // Snapshots capture the state in memory, which includes the events of pending records. If records remain pending, a
        // snapshot would be newer than this commit, so nothing is compacted.
        val canCompact = isCompactionRequested && pendingRecords.isEmpty()
        val compaction = if (canCompact) planCompaction(index, jobs, inventorySnapshot, maxCompactionChanges) else null
        isCompactionIncomplete = compaction?.isIncomplete ?: isCompactionRequested
        inFlight = InFlightCommit(index, records.associate { it.index to RetainedRecord(it.events) }, compaction)
        return Commit(index, changesOf(index, term, records, compaction))
    }

    /** Removes and returns as many pending records as fit into one transaction, at least one if there are any. */
    private fun takePendingRecords(): List<PendingRecord> {
        val records = ArrayList<PendingRecord>()
        var bytes = 0
        while (pendingRecords.isNotEmpty() && records.size < deployment.maxTransactionOps / RECORD_OPS_DIVISOR) {
            bytes += pendingRecords.first().bytes
            if (records.isNotEmpty() && bytes > MAX_COMMIT_BYTES) break
            records += pendingRecords.removeFirst()
        }
        return records
    }

    private fun planCompaction(
        index: LogIndex,
        jobs: LoggedJobs,
        inventorySnapshot: (LogIndex) -> InventorySnapshot,
        maxChanges: Int,
    ): CompactionPlan {
        val limits = CompactionPlan.Limits(
            changes = maxChanges,
            totalBytes = MAX_COMMIT_BYTES,
            valueBytes = recordBytes,
            chunkBytes = deployment.maxStoredValueBytes * CHUNK_FILL,
        )
        val plan = CompactionPlan(index, limits, jobs, sizes, inventorySnapshot, storedSnapshots)
        // Only records of earlier commits are compacted, not those that this commit writes.
        for ((recordIndex, record) in retainedRecords.headMap(index)) {
            if (plan.isIncomplete) break
            plan.addRecord(recordIndex, record)
        }
        return plan
    }

    private fun changesOf(index: LogIndex, term: Term, records: List<PendingRecord>, compaction: CompactionPlan?): List<Mutation> {
        val changes = ArrayList<Mutation>()
        changes += Mutation.Put(LogKeys.HEAD, StoredValue.Head(index, term))
        records.mapTo(changes) { Mutation.Put(LogKeys.record(it.index), StoredValue.Record(LogRecord(it.events.toList()))) }
        if (compaction != null) changes += compaction.changes()
        return changes
    }

    /**
     * Called when the key-value store has applied the commit in flight, whose index is [index]: marks its records as committed and
     * completes its compaction in memory.
     */
    fun recordCommitted(index: LogIndex, jobs: LoggedJobs) {
        val commit = inFlight
        check(commit?.index == index) { "commit $index was confirmed, but the commit in flight is ${commit?.index}" }
        inFlight = null
        committedIndex = index
        retainedRecords += commit.records
        commit.compaction?.let { applyCompaction(it, jobs) }
    }

    private fun applyCompaction(plan: CompactionPlan, jobs: LoggedJobs) {
        plan.deletedRecords.forEach(retainedRecords::remove)
        storedSnapshots.recordCompaction(plan)
        plan.archivedJobs.forEach { jobs.archive(it.id) }
    }

    private companion object {
        /**
         * The fraction of the value size limit that the estimated size of a record or of a part of a snapshot may reach. The limit itself
         * applies to the JSON form, which is larger.
         */
        const val RECORD_FILL = 0.8

        /** The fraction of the value size limit beyond which a chunk of final states isn't extended any more. */
        const val CHUNK_FILL = 0.5

        /** The key-value store's size limit for a transaction. */
        const val MAX_TRANSACTION_BYTES = 65_536

        /** The size limit for the records of a commit, and separately for its compaction. */
        const val MAX_COMMIT_BYTES = MAX_TRANSACTION_BYTES * 0.4

        /** The maximum number of operations in a transaction is divided by this to obtain the maximum number of records in a commit. */
        const val RECORD_OPS_DIVISOR = 4
    }
}
