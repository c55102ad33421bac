package cleathitch.scheduler.api

/** The state of a job as reported to users. Final states are reported only once they are committed. */
enum class JobState {
    /** Accepted; the latest heartbeats report no running task of the job. */
    QUEUED,

    /** The latest heartbeats report at least one running task of the job. */
    RUNNING,

    /** All its tasks are complete. */
    DONE,

    /** Cancelled by a user. */
    CANCELLED,
}
