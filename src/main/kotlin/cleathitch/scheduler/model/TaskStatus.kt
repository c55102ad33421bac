package cleathitch.scheduler.model

/** A task as a machine's report shows it. */
data class TaskStatus(val attempt: AttemptId, val state: TaskState, val exitReason: ExitReason? = null, val saved: Boolean = false)
