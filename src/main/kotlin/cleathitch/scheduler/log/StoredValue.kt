package cleathitch.scheduler.log

import cleathitch.scheduler.model.Term

/** What a key of [LogKeys] can hold. */
sealed interface StoredValue {
    /** The last commit: its [index], and the [term] of the leader that wrote it. */
    data class Head(val index: LogIndex, val term: Term) : StoredValue

    /** One record of the log. */
    data class Record(val record: LogRecord) : StoredValue

    /** A job as of the last compaction that covered it. */
    data class Job(val snapshot: JobSnapshot) : StoredValue

    /** The machine inventory as of its last compaction. */
    data class Inventory(val snapshot: InventorySnapshot) : StoredValue

    /** Final states of many jobs that are over. */
    data class FinishedJobs(val snapshot: FinishedJobsSnapshot) : StoredValue
}
