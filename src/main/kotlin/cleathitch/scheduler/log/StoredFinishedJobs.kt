package cleathitch.scheduler.log

/** A chunk of final states as read from the key-value store. */
data class StoredFinishedJobs(val chunkNumber: Long, val snapshot: FinishedJobsSnapshot)
