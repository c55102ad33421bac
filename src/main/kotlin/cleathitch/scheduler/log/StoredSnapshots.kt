package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId

/** Tracks which snapshots and final states are in the key-value store, according to the applied commits. */
internal class StoredSnapshots {
    /** For each snapshot, by key, the index of the last record that it includes. */
    private val lastIncludedIndexes = HashMap<String, LogIndex>()

    /** The number of parts in which each job's snapshot is stored. */
    private val jobParts = HashMap<JobId, Int>()

    /** The newest chunk of final states, to which further ones are added. */
    var finishedJobs = FinishedJobsChunk.FIRST
        private set

    /** The index of the last record that the snapshot under [key] includes; [LogIndex.NONE] if there is no such snapshot. */
    fun lastIncludedIndex(key: String): LogIndex = lastIncludedIndexes[key] ?: LogIndex.NONE

    /** The number of parts in which the snapshot of [job] is stored, 0 if there is none. */
    fun partsOf(job: JobId): Int = jobParts[job] ?: 0

    /** Restores this from what a new leader read from the key-value store. */
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

    /** Called when the commit that includes [plan] is applied. */
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
