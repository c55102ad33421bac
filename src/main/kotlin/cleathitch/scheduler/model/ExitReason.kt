package cleathitch.scheduler.model

/** Why an attempt ended on its machine. */
enum class ExitReason {
    /** The task is completed; its result is kept outside the machine. */
    DONE,

    /** A command of the leader stopped it. */
    STOPPED,

    /** It failed by itself. */
    ERROR,

    /** The machine had less room than the task needs. */
    NO_ROOM,

    /** What it needs was still in use on the machine. */
    BUSY,

    /** The worker doesn't know how it ended. */
    UNKNOWN,

    /** It is a gang's task, and others of its gang were missing. */
    PEERS_MISSING,
}
