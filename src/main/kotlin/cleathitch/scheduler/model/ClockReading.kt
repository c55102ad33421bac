package cleathitch.scheduler.model

/** A moment by the node's steady clock, and by the time of day (which wanders). */
data class ClockReading(val steadyMs: Long, val wallMs: Long)
