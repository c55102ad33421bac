package cleathitch.scheduler.log

import cleathitch.scheduler.model.Term

/** The value stored under a key of [LogKeys]. */
sealed interface StoredValue {
    /** The [index] of the last commit, and the [term] of the leader that wrote it. */
    data class Head(val index: LogIndex, val term: Term) : StoredValue

    /** One record of the log. */
    data class Record(val record: LogRecord) : StoredValue

    /** The newest snapshot of a job. */
    data class Job(val snapshot: JobSnapshot) : StoredValue

    /** The newest snapshot of the machine inventory. */
    data class Inventory(val snapshot: InventorySnapshot) : StoredValue

    /** A chunk of final states. */
    data class FinishedJobs(val snapshot: FinishedJobsSnapshot) : StoredValue
}
