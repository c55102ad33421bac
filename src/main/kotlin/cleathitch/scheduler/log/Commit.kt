package cleathitch.scheduler.log

/** One transaction of the log: the records up to [index], and the [changes] that write them and compact earlier ones. */
data class Commit(val index: LogIndex, val changes: List<Mutation>)
