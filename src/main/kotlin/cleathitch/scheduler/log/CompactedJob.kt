package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId

/** The form in which compaction stores a job in place of its events. */
sealed interface CompactedJob {
    /**
     * The job isn't in a terminal state, or an attempt of it may still be running; a snapshot of it is stored.
     *
     * @property withoutAttempts the snapshot of the job as of now, without its live attempts
     * @property liveAttempts the live attempts in the order of their start records
     */
    data class Open(val withoutAttempts: JobSnapshot, val liveCount: Int, val liveAttempts: Sequence<LoggedAttempt>) : CompactedJob

    /** The job is in a terminal state and has no live attempts; only its [finalState] is stored. */
    data class Finished(val id: JobId, val finalState: FinalState) : CompactedJob

    /** An earlier compaction has already stored the final state; nothing more is stored. */
    data object Archived : CompactedJob
}

/** A live [attempt], and the record that contains its start; for an attempt restored from a snapshot, the last record included there. */
data class LoggedAttempt(val attempt: LiveAttempt, val startIndex: LogIndex)
