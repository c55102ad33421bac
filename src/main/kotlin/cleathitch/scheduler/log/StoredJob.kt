package cleathitch.scheduler.log

/** A job's snapshot as stored in so many [parts] in the key-value store. */
data class StoredJob(val snapshot: JobSnapshot, val parts: Int)
