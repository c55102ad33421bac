package cleathitch.scheduler.log

import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.Term
import java.util.TreeMap

/**
 * The write-ahead log of the scheduler's decisions. Events are appended to pending records; a commit writes the pending records to
 * the key-value store and, if asked to, compacts older ones into snapshots. One commit is in flight at a time.
 *
 * Owned by the scheduler and confined to the leader's event loop. It does no I/O: commits are handed out by [nextCommit], and
 * [recordCommitted] confirms that one is durable. Only then do the compaction's effects show in memory.
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

    private val recordBytes = deployment.stateValueBytes * RECORD_FILL
    private val pendingRecords = ArrayDeque<PendingRecord>()
    private var inFlight: InFlightCommit? = null
    private var lastIndex = LogIndex.NONE

    /** The last record that is certain to be in the key-value store. */
    var committedIndex = LogIndex.NONE
        private set

    /** Records in the key-value store that no compaction has deleted yet. */
    private val retainedRecords = TreeMap<LogIndex, RetainedRecord>()

    private val storedSnapshots = StoredSnapshots()

    /** No commit is in flight. */
    val isIdle get() = inFlight == null
    val hasPendingRecords get() = pendingRecords.isNotEmpty()
    val pendingRecordCount get() = pendingRecords.size

    /** The last compaction left records because it had reached its limits. */
    var isCompactionIncomplete = false
        private set

    /** Takes over what a new leader found in the key-value store. */
    fun restore(recovered: RecoveredState) {
        lastIndex = recovered.head
        committedIndex = recovered.head
        recovered.records.forEach { retainedRecords[it.index] = RetainedRecord(it.record.events) }
        storedSnapshots.restore(recovered)
    }

    /** Whether a stored snapshot already includes [event] of the record [index], which replay then leaves out. */
    fun isInSnapshot(event: Event, index: LogIndex): Boolean = index <= storedSnapshots.lastIncludedIndex(LogKeys.snapshotOf(event))

    /** Adds [event] to a record for the next commit, and gives the index of that record. */
    fun append(event: Event): LogIndex {
        val size = sizes.sizeOf(event)
        val record = pendingRecords.lastOrNull()?.takeIf { it.bytes + size <= recordBytes } ?: beginRecord()
        record.add(event, size)
        return record.index
    }

    /** Begins a new record if [starts] don't fit into the current one but fit into one: a gang's starts are then recorded together. */
    fun reserveRoomFor(starts: List<Event.AttemptStarted>) {
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
     * The next commit, in flight from now on; null while another one is, or if there is nothing to write. Compacts by up to
     * [maxCompactionChanges] changes, 0 for no compaction.
     */
    fun nextCommit(term: Term, jobs: LoggedJobs, inventorySnapshot: (LogIndex) -> InventorySnapshot, maxCompactionChanges: Int): Commit? {
        if (inFlight != null) return null
        val isCompactionAsked = maxCompactionChanges > 0
        if (pendingRecords.isEmpty() && (!isCompactionAsked || retainedRecords.isEmpty())) {
            isCompactionIncomplete = false
            return null
        }
        val records = takePendingRecords()
        val index = records.lastOrNull()?.index ?: nextIndex()
        // Snapshots are taken of the state in memory, which is that of this commit only if no later record is pending.
        val canCompact = isCompactionAsked && pendingRecords.isEmpty()
        val compaction = if (canCompact) planCompaction(index, jobs, inventorySnapshot, maxCompactionChanges) else null
        isCompactionIncomplete = compaction?.isIncomplete ?: isCompactionAsked
        inFlight = InFlightCommit(index, records.associate { it.index to RetainedRecord(it.events) }, compaction)
        return Commit(index, changesOf(index, term, records, compaction))
    }

    /** As many pending records as fit into one transaction, at least one if there are any. */
    private fun takePendingRecords(): List<PendingRecord> {
        val records = ArrayList<PendingRecord>()
        var bytes = 0
        while (pendingRecords.isNotEmpty() && records.size < deployment.stateTxnOps / RECORDS_DIVISOR) {
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
            chunkBytes = deployment.stateValueBytes * CHUNK_FILL,
        )
        val plan = CompactionPlan(index, limits, jobs, sizes, inventorySnapshot, storedSnapshots)
        // The records of this commit itself aren't retained yet, and stay.
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

    /** The commit in flight, at [index], was carried out: its records are committed, and its compaction takes effect. */
    fun recordCommitted(index: LogIndex, jobs: LoggedJobs) {
        val commit = inFlight
        check(commit?.index == index) { "the commit in flight is ${commit?.index}, not $index" }
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
        /** How much of a value's limit a record or a part of a snapshot may fill: limits count the JSON form, which takes more. */
        const val RECORD_FILL = 0.8

        /** The part of a value's limit that a chunk of final states fills before the next chunk is begun. */
        const val CHUNK_FILL = 0.5

        /** The key-value store's limit for a transaction. */
        const val MAX_TRANSACTION_BYTES = 65_536

        /** What the records of a commit may take, and its compaction likewise. */
        const val MAX_COMMIT_BYTES = MAX_TRANSACTION_BYTES * 0.4

        /** Of a transaction's operations, the records of a commit take one in so many. */
        const val RECORDS_DIVISOR = 4
    }
}
