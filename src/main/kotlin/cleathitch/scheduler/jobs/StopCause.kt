package cleathitch.scheduler.jobs

/** Why a running attempt is to be stopped. */
enum class StopCause { CANCELLED, DRAIN, PREEMPTED, STRAY }
