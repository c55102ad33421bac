package cleathitch.scheduler.model

/** Milliseconds in a second: settings and messages count in seconds, clocks in milliseconds. */
const val MS_PER_S = 1000.0
