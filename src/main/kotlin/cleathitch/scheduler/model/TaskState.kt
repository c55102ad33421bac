package cleathitch.scheduler.model

/** What an attempt does on its machine. */
enum class TaskState {
    /** Its image is being fetched. */
    FETCHING,

    /** It is a gang's task that is ready and waits for the others of its gang. */
    WAITING,
    RUNNING,

    /** It was stopped and writes its checkpoint. */
    SAVING,

    /** It has ended, for an [ExitReason], and stays in heartbeats until the leader sends [WorkerCommand.Forget]. */
    EXITED,
}
