package cleathitch.scheduler.model

sealed interface WorkerCommand {
    val attempt: AttemptId

    data class Start(override val attempt: AttemptId) : WorkerCommand
    data class Stop(override val attempt: AttemptId, val graceS: Double) : WorkerCommand
    data class Forget(override val attempt: AttemptId) : WorkerCommand
}
