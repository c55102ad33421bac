package cleathitch.scheduler.model

/** The status of a task's attempt as reported in a heartbeat. */
data class TaskStatus(
    val attempt: AttemptId,
    val state: TaskState,
    /** Why the attempt ended; null unless [state] is [TaskState.EXITED], and for reasons unknown to this release. */
    val exitReason: ExitReason? = null,
    /** Whether its progress was saved before it ended. */
    val saved: Boolean = false,
)
