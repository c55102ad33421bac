package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId
import kotlin.math.ceil

/**
 * The compaction that goes with one commit: snapshots, final states of finished jobs, and the deletion of the records that these
 * replace. Built up by [addRecord], oldest record first.
 *
 * It only plans. Memory changes once the commit is carried out: users see the final state of an archived job at once, and a
 * successor that doesn't find it in the store would contradict it.
 *
 * @param index the commit's index; its snapshots include all records up to this one
 * @param stored the snapshots that are stored before this commit
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
     * How much one compaction may write: so many [changes] and bytes in all, so many bytes to a value of a snapshot, and so many
     * to a chunk of final states before the next is begun.
     */
    class Limits(val changes: Int, val totalBytes: Double, val valueBytes: Double, val chunkBytes: Double)

    private val planned = ArrayList<Mutation>()
    private var plannedBytes = 0

    /** Records that the commit deletes. */
    val deletedRecords = ArrayList<LogIndex>()

    /** The last index that each snapshot of this commit includes, by key. */
    val lastIncludedIndexes = HashMap<String, LogIndex>()

    /** In how many parts each job's snapshot of this commit is stored. */
    val jobParts = HashMap<JobId, Int>()

    /** Jobs of which this commit keeps the final state alone. */
    val archivedJobs = ArrayList<CompactedJob.Finished>()

    /** The chunk of final states after the commit. */
    val finishedJobs by lazy {
        if (archivedJobs.isEmpty()) stored.finishedJobs else stored.finishedJobs.plus(archivedJobs, limits.chunkBytes)
    }

    /** A record was left because the limits were reached; nothing more fits. */
    var isIncomplete = false
        private set

    /** All changes of the plan, once every record was added. */
    fun changes(): List<Mutation> {
        if (archivedJobs.isEmpty()) return planned
        return planned + Mutation.Put(LogKeys.finishedJobs(finishedJobs.number), StoredValue.FinishedJobs(finishedJobs.snapshot))
    }

    /** Plans the deletion of [record], and the snapshots that replace it, as far as the limits allow. */
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

    /** Sees to it that a snapshot under [key] includes the record; false if the limits don't allow it. */
    private fun ensureSnapshot(key: String, recordIndex: LogIndex): Boolean {
        if (lastIncludedIndex(key) >= recordIndex) return true
        if (!hasRoom() || !addSnapshot(key)) return false
        lastIncludedIndexes[key] = index
        return true
    }

    private fun lastIncludedIndex(key: String) = lastIncludedIndexes[key] ?: stored.lastIncludedIndex(key)

    private fun hasRoom() = planned.size < limits.changes && plannedBytes < limits.totalBytes

    /** False if the snapshot is too large for what is left of the limits. */
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
        // A snapshot larger than the limit alone still has to be stored at some time.
        if (plannedBytes > 0 && plannedBytes + size > limits.totalBytes) return false
        plannedBytes += size
        val id = snapshot.spec.id
        // Never fewer parts than before, so that no part of an older snapshot is left.
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
