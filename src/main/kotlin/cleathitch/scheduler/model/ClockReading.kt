package cleathitch.scheduler.model

/**
 * A moment by the controller's steady clock, for durations, and by the wall clock, which may jump but is about the same on all
 * controllers.
 */
data class ClockReading(val steadyMs: Long, val wallMs: Long)
