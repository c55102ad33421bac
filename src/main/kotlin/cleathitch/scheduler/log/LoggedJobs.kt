package cleathitch.scheduler.log

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobId

/** The jobs whose events the log records, as compaction asks about them. The job table implements it. */
interface LoggedJobs {
    /** Whether [attempt] is live and no heartbeat has shown it yet. */
    fun isStartUnobserved(attempt: AttemptId): Boolean

    /** What is to be stored of the job [id] as it is after the record [lastIncludedIndex]. */
    fun compact(id: JobId, lastIncludedIndex: LogIndex): CompactedJob

    /** Forgets everything of the finished job [id] but its final state. Called once a commit has stored the final state. */
    fun archive(id: JobId)
}
