package cleathitch.scheduler.api

/** How important a log line is, the most important level first. */
enum class LogLevel { ERROR, INFO, DEBUG }
