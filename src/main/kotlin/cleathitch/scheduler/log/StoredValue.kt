package cleathitch.scheduler.log

import cleathitch.scheduler.model.Term

/** What a key of [LogKeys] can hold. */
sealed interface StoredValue {
    /** The last commit: its [index], and the [term] of the leader that wrote it. */
    data class Head(val index: LogIndex, val term: Term) : StoredValue
    data class Record(val record: LogRecord) : StoredValue
    data class Job(val snapshot: JobSnapshot) : StoredValue
    data class Inventory(val snapshot: InventorySnapshot) : StoredValue
    data class FinishedJobs(val snapshot: FinishedJobsSnapshot) : StoredValue
}
