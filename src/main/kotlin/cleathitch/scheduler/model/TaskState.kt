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

    /** It has ended, for an [ExitReason], and is shown until the leader tells the worker to forget it. */
    EXITED,
}
