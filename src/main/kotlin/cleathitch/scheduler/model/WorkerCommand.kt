package cleathitch.scheduler.model

/** What the leader asks of a worker about one attempt. */
sealed interface WorkerCommand {
    val attempt: AttemptId

    /** Starts the attempt. */
    data class Start(override val attempt: AttemptId) : WorkerCommand

    /** Stops the attempt; it has [graceS] seconds to write its checkpoint. */
    data class Stop(override val attempt: AttemptId, val graceS: Double) : WorkerCommand

    /** The outcome of an attempt that ended is recorded; heartbeats needn't show it any more. */
    data class Forget(override val attempt: AttemptId) : WorkerCommand
}
