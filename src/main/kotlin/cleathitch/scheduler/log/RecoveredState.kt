package cleathitch.scheduler.log

/**
 * The stored log and snapshots, as a new leader reads them from the key-value store.
 *
 * @property head the index of the last commit
 * @property records the records that compaction hasn't deleted, oldest first
 * @property jobs the snapshots of jobs that aren't archived
 * @property inventory the snapshot of the machine inventory, null if none was stored yet
 * @property finishedJobs the chunks of final states
 */
data class RecoveredState(
    val head: LogIndex,
    val records: List<StoredRecord>,
    val jobs: List<StoredJob>,
    val inventory: InventorySnapshot?,
    val finishedJobs: List<StoredFinishedJobs>,
) {
    companion object {
        /** The state of a cluster that has never had a leader. */
        val EMPTY = RecoveredState(LogIndex.NONE, emptyList(), emptyList(), null, emptyList())
    }
}
