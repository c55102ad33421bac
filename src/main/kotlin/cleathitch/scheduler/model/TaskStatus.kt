package cleathitch.scheduler.model

/** The status of a task's attempt as reported in a heartbeat. */
data class TaskStatus(
    val attempt: AttemptId,
    val state: TaskState,
    /** Why the attempt ended; null if [state] isn't [TaskState.EXITED] or if this release doesn't know the reported reason. */
    val exitReason: ExitReason? = null,
    /** Whether its progress was saved before it ended. */
    val saved: Boolean = false,
)
