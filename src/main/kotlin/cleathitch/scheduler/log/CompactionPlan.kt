package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId
import kotlin.math.ceil

/**
 * The compaction that is part of one commit: snapshots, final states of finished jobs, and deletions of the records that they
 * replace. Built by calling [addRecord] for each record, oldest first.
 *
 * Planning doesn't change the state in memory; that is updated only once the commit is applied. Otherwise users could be told the
 * final state of a job before it is stored. If the commit were lost, the next leader wouldn't find the final state in the key-value
 * store and could contradict it.
 *
 * @param index the index of the commit; its snapshots include all records up to this one
 * @param stored the snapshots stored by earlier commits
 */
internal class CompactionPlan(
    private val index: LogIndex,
    private val limits: Limits,
    private val jobs: LoggedJobs,
    private val sizes: SizeEstimator,
    private val inventorySnapshot: (LogIndex) -> InventorySnapshot,
    private val stored: StoredSnapshots,
) {
    /**
     * Limits of one compaction.
     *
     * @property changes planning stops once the plan has this many changes; the deletions of an archived job's parts and the chunk of
     * final states may take the plan beyond it
     * @property totalBytes the maximum number of bytes of all values together
     * @property valueBytes the maximum number of bytes of one part of a job's snapshot
     * @property chunkBytes a chunk of final states larger than this isn't extended; a new one is begun
     */
    class Limits(val changes: Int, val totalBytes: Double, val valueBytes: Double, val chunkBytes: Double)

    private val planned = ArrayList<Mutation>()
    private var plannedBytes = 0

    /** The records that the commit deletes. */
    val deletedRecords = ArrayList<LogIndex>()

    /** For each snapshot that the commit writes, by key, the index of the last record that it includes. */
    val lastIncludedIndexes = HashMap<String, LogIndex>()

    /** The number of parts of each job snapshot that the commit writes. */
    val jobParts = HashMap<JobId, Int>()

    /** The jobs of which only the final state remains after the commit. */
    val archivedJobs = ArrayList<CompactedJob.Finished>()

    /** The newest chunk of final states as of this commit. */
    val finishedJobs by lazy {
        if (archivedJobs.isEmpty()) stored.finishedJobs else stored.finishedJobs.plus(archivedJobs, limits.chunkBytes)
    }

    /** Whether a record was left uncompacted because the limits were reached. */
    var isIncomplete = false
        private set

    /** All changes of the plan. Called after all records were added. */
    fun changes(): List<Mutation> {
        if (archivedJobs.isEmpty()) return planned
        return planned + Mutation.Put(LogKeys.finishedJobs(finishedJobs.number), StoredValue.FinishedJobs(finishedJobs.snapshot))
    }

    /** Plans to write the snapshots that replace [record] and to delete the record, within the limits. */
    fun addRecord(recordIndex: LogIndex, record: RetainedRecord) {
        if (record.hasUnobservedStarts(jobs)) return
        val isReplaced = record.snapshotKeys.all { ensureSnapshot(it, recordIndex) }
        if (!isReplaced || planned.size >= limits.changes) {
            isIncomplete = true
            return
        }
        deletedRecords += recordIndex
        planned += Mutation.Delete(LogKeys.record(recordIndex))
    }

    /** Ensures that the snapshot under [key] includes the record; returns false if the limits don't permit writing the snapshot. */
    private fun ensureSnapshot(key: String, recordIndex: LogIndex): Boolean {
        if (lastIncludedIndex(key) >= recordIndex) return true
        if (!isBelowLimits() || !addSnapshot(key)) return false
        lastIncludedIndexes[key] = index
        return true
    }

    private fun lastIncludedIndex(key: String) = lastIncludedIndexes[key] ?: stored.lastIncludedIndex(key)

    private fun isBelowLimits() = planned.size < limits.changes && plannedBytes < limits.totalBytes

    /** Plans to write the snapshot under [key], or to archive its job; returns false if a job's snapshot exceeds the remaining bytes. */
    private fun addSnapshot(key: String): Boolean {
        if (key == LogKeys.INVENTORY) {
            planned += Mutation.Put(key, StoredValue.Inventory(inventorySnapshot(index)))
            return true
        }
        val id = JobId(key.removePrefix(LogKeys.JOB_PREFIX))
        when (val job = jobs.compact(id, index)) {
            is CompactedJob.Open -> return addJobSnapshot(key, job.snapshot)
            is CompactedJob.Finished -> archive(key, job)
            CompactedJob.Archived -> Unit
        }
        return true
    }

    private fun addJobSnapshot(key: String, snapshot: JobSnapshot): Boolean {
        val size = sizes.sizeOf(snapshot)
        // The first snapshot of a plan may exceed the limit; a snapshot larger than the limit could never be stored otherwise.
        if (plannedBytes > 0 && plannedBytes + size > limits.totalBytes) return false
        plannedBytes += size
        val id = snapshot.spec.id
        // At least as many parts as the stored snapshot has, so that every part of it is overwritten.
        val parts = maxOf(stored.partsOf(id), ceil(size / limits.valueBytes).toInt())
        jobParts[id] = parts
        planned += Mutation.Put(key, StoredValue.Job(snapshot), parts)
        return true
    }

    private fun archive(key: String, job: CompactedJob.Finished) {
        archivedJobs += job
        repeat(stored.partsOf(job.id)) { part -> planned += Mutation.Delete("$key/$part") }
        plannedBytes += FinishedJobsChunk.sizeOf(job.id)
    }
}
