package cleathitch.scheduler.log

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobId

/** The view of the jobs that compaction needs. Implemented by the job table. */
interface LoggedJobs {
    /**
     * Whether [attempt] is live but missing from its machine's newest heartbeat. Before the machine's first heartbeat in this
     * term, every live attempt on it counts as missing.
     */
    fun isStartUnobserved(attempt: AttemptId): Boolean

    /** The form in which compaction stores job [id] as of record [lastIncludedIndex]. */
    fun compact(id: JobId, lastIncludedIndex: LogIndex): CompactedJob

    /** Records that the start of a live attempt is now contained in record [index]. Called once that record is durable. */
    fun relocateStart(start: Event.AttemptStarted, index: LogIndex)

    /** Drops everything about the finished job [id] except its final state. Called once the final state is durable. */
    fun archive(id: JobId)
}
