package cleathitch.scheduler.model

enum class TaskState {
    FETCHING,

    /** A gang's task that is on its machine and waits for the others. */
    WAITING,
    RUNNING,
    SAVING,
    EXITED,
}
