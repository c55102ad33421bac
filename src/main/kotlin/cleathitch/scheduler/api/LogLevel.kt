package cleathitch.scheduler.api

/** Log levels in descending order of severity. */
enum class LogLevel { ERROR, INFO, DEBUG }
