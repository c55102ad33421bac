package cleathitch.scheduler.model

enum class ExitReason {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN,

    /** A gang's task ended because others of its gang were missing. */
    PEERS_MISSING,
}
