package cleathitch.scheduler.log

/** A record as stored at [index] in the key-value store. */
data class StoredRecord(val index: LogIndex, val record: LogRecord)
