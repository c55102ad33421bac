package cleathitch.scheduler.model

/** A task's attempt as a heartbeat shows it. */
data class TaskStatus(
    val attempt: AttemptId,
    val state: TaskState,
    /** Why it ended; null unless [state] is [TaskState.EXITED], and for reasons that this release doesn't know. */
    val exitReason: ExitReason? = null,
    /** Its progress was saved before it ended. */
    val saved: Boolean = false,
)
