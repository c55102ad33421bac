package cleathitch.scheduler.log

/**
 * What a new leader finds in the key-value store.
 *
 * @property head the index of the last commit
 * @property records the records that no compaction has deleted, oldest first
 * @property jobs the snapshots of open jobs
 * @property inventory the snapshot of the machine inventory, null before the first
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
        /** The state of a cluster that nobody has led yet. */
        val EMPTY = RecoveredState(LogIndex.NONE, emptyList(), emptyList(), null, emptyList())
    }
}
