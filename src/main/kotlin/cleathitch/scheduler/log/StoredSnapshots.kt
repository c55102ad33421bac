package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId

/** Which snapshots and final states are in the key-value store, as far as commits were carried out. */
internal class StoredSnapshots {
    /** The last index that each snapshot includes, by key. */
    private val lastIncludedIndexes = HashMap<String, LogIndex>()

    /** In how many parts each job's snapshot is stored. */
    private val jobParts = HashMap<JobId, Int>()

    /** The chunk to which final states are added. */
    var finishedJobs = FinishedJobsChunk.FIRST
        private set

    /** The last index that the snapshot under [key] includes; [LogIndex.NONE] if there is no such snapshot. */
    fun lastIncludedIndex(key: String): LogIndex = lastIncludedIndexes[key] ?: LogIndex.NONE

    /** In how many parts the snapshot of [job] is stored, 0 if there is none. */
    fun partsOf(job: JobId): Int = jobParts[job] ?: 0

    /** Takes over what a new leader found. */
    fun restore(recovered: RecoveredState) {
        recovered.jobs.forEach(::restore)
        recovered.inventory?.let { lastIncludedIndexes[LogKeys.INVENTORY] = it.lastIncludedIndex }
        val newestChunk = recovered.finishedJobs.maxByOrNull { it.chunkNumber } ?: return
        finishedJobs = FinishedJobsChunk(newestChunk.chunkNumber, newestChunk.snapshot)
    }

    private fun restore(stored: StoredJob) {
        val id = stored.snapshot.spec.id
        lastIncludedIndexes[LogKeys.job(id)] = stored.snapshot.lastIncludedIndex
        jobParts[id] = stored.parts
    }

    /** The commit that [plan] went with was carried out. */
    fun recordCompaction(plan: CompactionPlan) {
        lastIncludedIndexes += plan.lastIncludedIndexes
        jobParts += plan.jobParts
        finishedJobs = plan.finishedJobs
        for (job in plan.archivedJobs) {
            lastIncludedIndexes.remove(LogKeys.job(job.id))
            jobParts.remove(job.id)
        }
    }
}
