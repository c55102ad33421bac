package cleathitch.scheduler.log

/** A job's snapshot as read from the key-value store, where it is stored in [parts] parts. */
data class StoredJob(val snapshot: JobSnapshot, val parts: Int)
