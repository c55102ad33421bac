package cleathitch.scheduler.model

/**
 * A point in time on the controller's monotonic clock, for durations, and on the wall clock, which may jump but is roughly
 * synchronized between controllers.
 */
data class ClockReading(val monotonicMs: Long, val wallMs: Long)
