package cleathitch.scheduler.model

/** The reason for which an attempt ended on its machine. */
enum class ExitReason {
    /** The task is completed; its result is stored outside the machine. */
    DONE,

    /** The leader stopped it with a command. */
    STOPPED,

    /** The task itself failed with an error. */
    ERROR,

    /** The machine had too few free resources for the task, so the leader considers it full for one heartbeat period. */
    NO_ROOM,

    /** The resources for the task were still in use on the machine; unlike after [NO_ROOM], the machine doesn't count as full. */
    BUSY,

    /** The worker doesn't know why it ended. */
    UNKNOWN,

    /** It is a task of a gang, and other tasks of the gang were missing. */
    PEERS_MISSING,
}
