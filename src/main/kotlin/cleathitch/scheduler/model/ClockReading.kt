package cleathitch.scheduler.model

/** A moment by the node's steady clock, for durations, and by the wall clock, which may jump but means about the same on all nodes. */
data class ClockReading(val steadyMs: Long, val wallMs: Long)
