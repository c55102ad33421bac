package cleathitch.scheduler.model

/** A command of the leader to a worker, about one attempt. */
sealed interface WorkerCommand {
    val attempt: AttemptId

    /** Starts the attempt. */
    data class Start(override val attempt: AttemptId) : WorkerCommand

    /** Stops the attempt, which has [graceS] seconds to write its checkpoint. */
    data class Stop(override val attempt: AttemptId, val graceS: Double) : WorkerCommand

    /** Acknowledges that the outcome of an ended attempt is recorded, so heartbeats no longer need to report it. */
    data class Forget(override val attempt: AttemptId) : WorkerCommand
}
