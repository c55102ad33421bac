package cleathitch.scheduler.api

/** The state of a job as users see it. Only committed ends are shown. */
enum class JobState {
    /** Accepted, and no task of it is seen running. */
    QUEUED,

    /** The newest heartbeats show a task of it running. */
    RUNNING,

    /** All its tasks are complete. */
    DONE,

    /** Cancelled by a user. */
    CANCELLED,
}
