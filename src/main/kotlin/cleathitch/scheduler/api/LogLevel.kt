package cleathitch.scheduler.api

enum class LogLevel { ERROR, INFO, DEBUG }
