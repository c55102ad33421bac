package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.StoreLimits
import java.util.NavigableMap

/**
 * The compaction that is part of one commit: snapshots, final states of finished jobs, and deletions of the records that they
 * replace. [addRecords] plans it.
 *
 * Planning doesn't change the state in memory; that is updated only once the commit is applied. Otherwise users could be told the
 * final state of a job before it is stored. If the commit were lost, the next leader wouldn't find the final state in the key-value
 * store and could contradict it.
 *
 * @param index the newest record of the commit; a snapshot of everything includes all records up to this one
 * @param space the space that the commit's records leave in its transaction
 * @param retained the records in the key-value store
 * @param stored the snapshots stored by earlier commits
 */
internal class CompactionPlan(
    private val index: LogIndex,
    private val limits: Limits,
    private val space: TransactionSpace,
    private val retained: NavigableMap<LogIndex, RetainedRecord>,
    private val jobs: LoggedJobs,
    private val sizes: StoredSizes,
    private val inventorySnapshot: (LogIndex) -> InventorySnapshot,
    private val stored: StoredSnapshots,
) {
    /**
     * Limits of one compaction in addition to the [space] of its transaction.
     *
     * @property changes planning stops once the plan has this many operations; its last snapshot may take it beyond them
     * @property store the store's limits
     */
    class Limits(val changes: Int, val store: StoreLimits)

    private val planned = ArrayList<Mutation>()
    private var plannedOperations = 0
    private val relocation = RelocatedStarts(index.next(), sizes, limits.store.valueBytes)
    private val finishedJobsWriter = FinishedJobsWriter(stored.finishedJobs, space, sizes, limits.store.valueBytes)

    /** The snapshots that this plan has decided not to write. */
    private val declined = HashSet<String>()

    /** The records that the commit deletes. */
    val deletedRecords = ArrayList<LogIndex>()

    /** For each snapshot that the commit writes, by key, the index of the last record that it includes. */
    val lastIncludedIndexes = HashMap<String, LogIndex>()

    /** The number of parts of each job snapshot that the commit writes. */
    val jobParts = HashMap<JobId, Int>()

    /** The live starts that the commit writes to a record of its own, which follows all others. */
    val relocatedStarts: List<Event.AttemptStarted> get() = relocation.events

    /** The jobs of which only the final state remains after the commit. */
    val archivedJobs: List<CompactedJob.Finished> get() = finishedJobsWriter.added

    /** The newest chunk of final states as of this commit. */
    val finishedJobs: FinishedJobsChunk get() = finishedJobsWriter.chunk

    /** The values that are too large for any transaction. */
    val oversized = ArrayList<OversizedValue>()

    /** Whether a record was left uncompacted because the limits were reached. */
    var isIncomplete = false
        private set

    /** Whether the plan changes nothing. */
    val isEmpty get() = planned.isEmpty() && archivedJobs.isEmpty()

    /** All changes of the plan, except for the record of the [relocatedStarts]. */
    fun changes(): List<Mutation> = planned + listOfNotNull(finishedJobsWriter.change())

    /** Plans to replace records by snapshots and to delete them, oldest first, within the limits. */
    fun addRecords() {
        for ((recordIndex, record) in retained) {
            if (isIncomplete) return
            addRecord(recordIndex, record)
        }
    }

    private fun addRecord(recordIndex: LogIndex, record: RetainedRecord) {
        if (record.hasUnobservedStarts(jobs)) return
        if (record.snapshotKeys.any { it in declined && lastIncludedIndex(it) < recordIndex }) return
        if (record.snapshotKeys.all { ensureSnapshot(it, recordIndex) }) deleteRecord(recordIndex)
    }

    private fun deleteRecord(recordIndex: LogIndex) {
        val key = LogKeys.record(recordIndex)
        if (isBelowLimits() && space.add(sizes.deleteSize(listOf(key)))) {
            deletedRecords += recordIndex
            plan(Mutation.Delete(key), operations = 1)
        } else {
            isIncomplete = true
        }
    }

    /** Ensures that the snapshot under [key] includes the record; returns false if it doesn't. */
    private fun ensureSnapshot(key: String, recordIndex: LogIndex): Boolean {
        if (lastIncludedIndex(key) >= recordIndex) return true
        // A snapshot that this plan has already written, but which doesn't include the record, can be replaced only by another commit.
        if (!isBelowLimits() || key in lastIncludedIndexes) return postpone()
        return addSnapshot(key, recordIndex)
    }

    private fun lastIncludedIndex(key: String) = lastIncludedIndexes[key] ?: stored.lastIncludedIndex(key)

    private fun isBelowLimits() = plannedOperations < limits.changes

    /** Plans to write the snapshot under [key], or to archive its job; returns false if the limits don't permit it. */
    private fun addSnapshot(key: String, recordIndex: LogIndex): Boolean {
        if (key == LogKeys.INVENTORY) return addInventory(key)
        val id = JobId(key.removePrefix(LogKeys.JOB_PREFIX))
        return when (val job = jobs.compact(id, index)) {
            is CompactedJob.Open -> addJobSnapshot(key, job, recordIndex)
            is CompactedJob.Finished -> archive(key, job)
            CompactedJob.Archived -> true
        }
    }

    private fun addInventory(key: String): Boolean {
        val value = StoredValue.Inventory(inventorySnapshot(index))
        val bytes = sizes.encodedBytes(value)
        if (sizes.valueBytes(bytes) >
            limits.store.valueBytes
        ) {
            return declineOversized(key, sizes.valueBytes(bytes), limits.store.valueBytes)
        }
        if (!space.add(sizes.putSize(key, bytes))) return postpone()
        plan(Mutation.Put(key, value), operations = 1)
        lastIncludedIndexes[key] = index
        return true
    }

    private fun addJobSnapshot(key: String, job: CompactedJob.Open, recordIndex: LogIndex): Boolean {
        val planner = JobSnapshotPlanner(job, stored.partsOf(job.withoutAttempts.spec.id), index, sizes, limits.store)
        return when (val decision = planner.plan(recordIndex, space, relocation) { retainedEvents(key) }) {
            is SnapshotDecision.Store -> addJobSnapshot(key, decision.planned)
            is SnapshotDecision.NoSpaceNow -> postpone()
            is SnapshotDecision.NotWorthwhile -> false.also { declined += key }
            is SnapshotDecision.TooLarge -> declineOversized(key, decision.size.bytes, limits.store.transactionBytes)
        }
    }

    /** The number of events in the records that the stored snapshot under [key] doesn't include. */
    private fun retainedEvents(key: String) =
        retained.tailMap(stored.lastIncludedIndex(key), false).values.filter { key in it.snapshotKeys }.sumOf { it.eventCount }

    private fun addJobSnapshot(key: String, new: PlannedSnapshot): Boolean {
        if (!space.add(new.size + relocation.growth(new.relocated))) return postpone()
        relocation.add(new.relocated)
        plan(Mutation.Put(key, StoredValue.Job(new.snapshot), new.parts), new.parts)
        jobParts[new.snapshot.spec.id] = new.parts
        lastIncludedIndexes[key] = new.snapshot.lastIncludedIndex
        return true
    }

    private fun archive(key: String, job: CompactedJob.Finished): Boolean {
        val parts = LogKeys.jobParts(job.id, stored.partsOf(job.id))
        if (!finishedJobsWriter.add(job, sizes.deleteSize(parts))) return postpone()
        parts.forEach { plan(Mutation.Delete(it), operations = 1) }
        lastIncludedIndexes[key] = index
        return true
    }

    private fun plan(change: Mutation, operations: Int) {
        planned += change
        plannedOperations += operations
    }

    private fun postpone(): Boolean {
        isIncomplete = true
        return false
    }

    private fun declineOversized(key: String, bytes: Int, maxBytes: Int): Boolean {
        declined += key
        oversized += OversizedValue(key, bytes, maxBytes)
        return false
    }
}
