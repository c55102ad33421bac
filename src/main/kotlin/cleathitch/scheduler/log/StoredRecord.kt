package cleathitch.scheduler.log

/** The record at [index] as read from the key-value store. */
data class StoredRecord(val index: LogIndex, val record: LogRecord)
