package cleathitch.scheduler.model

/** The state of an attempt on its machine. */
enum class TaskState {
    /** Its image is being fetched. */
    FETCHING,

    /** It is a task of a gang, is ready to run and waits for the gang's other tasks. */
    WAITING,
    RUNNING,

    /** It was stopped and is writing its checkpoint. */
    SAVING,

    /** It has ended with an [ExitReason] and is reported in heartbeats until the leader sends [WorkerCommand.Forget]. */
    EXITED,
}
