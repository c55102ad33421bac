package cleathitch.scheduler.log

/** One transaction on the stored log. [changes] write the records up to [index] and may compact earlier records. */
data class Commit(val index: LogIndex, val changes: List<Mutation>)
