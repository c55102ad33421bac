package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId

/** What compaction stores in place of the events of a job. */
sealed interface CompactedJob {
    /** The job isn't finished, or an attempt of it may still run: its [snapshot]. */
    data class Open(val snapshot: JobSnapshot) : CompactedJob

    /** Only the final state is kept. */
    data class Finished(val id: JobId, val finalState: FinalState) : CompactedJob

    /** An earlier compaction has stored the final state; there is nothing to store. */
    data object Archived : CompactedJob
}
