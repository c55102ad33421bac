package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId

/** The form in which compaction stores a job in place of its events. */
sealed interface CompactedJob {
    /** The job isn't in a terminal state, or an attempt of it may still be running; its [snapshot] is stored. */
    data class Open(val snapshot: JobSnapshot) : CompactedJob

    /** The job is in a terminal state and has no live attempts; only its [finalState] is stored. */
    data class Finished(val id: JobId, val finalState: FinalState) : CompactedJob

    /** An earlier compaction has already stored the final state; nothing more is stored. */
    data object Archived : CompactedJob
}
