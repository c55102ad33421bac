package cleathitch.scheduler.jobs

/** Why an attempt is to be stopped. */
enum class StopCause {
    /** Its job is in a terminal state: it is stopped without a checkpoint. */
    CANCELLED,

    /** The cloud provider is about to reclaim its machine: it writes a checkpoint first. */
    DRAIN,

    /** It is preempted by a job of higher priority: it writes a checkpoint first. */
    PREEMPTED,

    /** Its task was completed by another attempt: it is stopped without a checkpoint. */
    SUPERSEDED,
}
