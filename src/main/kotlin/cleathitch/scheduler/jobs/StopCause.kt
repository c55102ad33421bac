package cleathitch.scheduler.jobs

/** Why an attempt is to be stopped. */
enum class StopCause {
    /** The attempt's job is in a terminal state. The attempt is stopped without a checkpoint. */
    CANCELLED,

    /** The cloud provider is about to reclaim the attempt's machine. The attempt writes a checkpoint first. */
    DRAIN,

    /** A job of higher priority preempts the attempt. The attempt writes a checkpoint first. */
    PREEMPTED,

    /** Another attempt completed the task. This attempt is stopped without a checkpoint because its progress is no longer of use. */
    SUPERSEDED,
}
