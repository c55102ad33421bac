package cleathitch.scheduler.model

/** Milliseconds per second. Settings and messages use seconds, clocks use milliseconds. */
const val MS_PER_S = 1000.0
