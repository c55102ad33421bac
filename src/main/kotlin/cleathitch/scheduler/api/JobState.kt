package cleathitch.scheduler.api

enum class JobState { QUEUED, RUNNING, DONE, CANCELLED }
