package cleathitch.scheduler.log

/** What a new leader finds in the state service. */
data class RecoveredState(
    val head: LogIndex,
    val records: List<Pair<LogIndex, LogRecord>>,
    val jobs: List<StoredJob>,
    val fleet: InventorySnapshot?,
    val finals: List<Pair<Long, FinishedJobsSnapshot>>,
) {
    data class StoredJob(val cell: JobSnapshot, val parts: Int)

    companion object {
        val EMPTY = RecoveredState(LogIndex.NONE, emptyList(), emptyList(), null, emptyList())
    }
}
