package cleathitch.scheduler.log

import cleathitch.scheduler.model.Term

/** What can stand under a key. */
sealed interface StoredValue {
    data class Head(val seq: LogIndex, val term: Term) : StoredValue
    data class OfRecord(val record: LogRecord) : StoredValue
    data class OfJob(val cell: JobSnapshot) : StoredValue
    data class OfFleet(val cell: InventorySnapshot) : StoredValue
    data class Finals(val cell: FinishedJobsSnapshot) : StoredValue
}
