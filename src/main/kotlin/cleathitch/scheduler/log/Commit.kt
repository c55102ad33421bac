package cleathitch.scheduler.log

/** One transaction: the record [seq] and whatever folds and trims go with it. */
data class Commit(val seq: LogIndex, val changes: List<Mutation>)
