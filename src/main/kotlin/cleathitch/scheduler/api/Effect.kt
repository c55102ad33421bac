package cleathitch.scheduler.api

import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.WorkerCommand

/** An action that the scheduler requests. Effects are executed in the given order. */
sealed interface Effect {
    /** Answers a user's submission, poll or cancellation. */
    data class Answer(val request: RequestId, val reply: UserReply) : Effect

    /** Answers a worker's heartbeat with [commands] under [token]; this answer renews the worker's lease. */
    data class AnswerHeartbeat(val request: RequestId, val token: FencingToken, val commands: List<WorkerCommand>) : Effect

    /** Refuses a worker's heartbeat, so that its lease isn't renewed. */
    data class RefuseHeartbeat(val request: RequestId) : Effect

    /** Answers a follower's batch with the decisions on its heartbeats and the answers to its polls, each in batch order. */
    data class AnswerFollower(val request: RequestId, val decisions: List<HeartbeatDecision>, val statuses: List<UserReply> = emptyList()) :
        Effect

    /** Commits changes to the key-value store. At most one commit is in flight. */
    data class Write(val commit: Commit) : Effect

    /** A direct call to a worker, other than the reply to its heartbeat. */
    sealed interface ToWorker : Effect {
        /** The worker's machine. */
        val machine: MachineId
    }

    /** Sends commands to a worker, under [token]; they are valid only for its [incarnation]. */
    data class SendCommands(
        override val machine: MachineId,
        val address: String,
        val incarnation: Long,
        val token: FencingToken,
        val commands: List<WorkerCommand>,
    ) : ToWorker

    /** Requests a heartbeat from a worker. */
    data class Probe(override val machine: MachineId, val address: String) : ToWorker

    /** Requests machines from the cloud provider. The call is idempotent: a repeated request is treated as the same rental. */
    data class Rent(val rental: Event.RentalRequested) : Effect

    /** Requests the termination of machines from the cloud provider. */
    data class TerminateMachines(val machines: List<MachineId>) : Effect

    /** Sends the contents of the machines' image caches to the followers, one of which may be the next leader. */
    data class ShareImageCacheHints(val images: Map<MachineId, ImageCache>) : Effect

    /** Ends the leader's term. With [transferLeadership] this controller doesn't campaign for some time, so that another one leads. */
    data class StepDown(val reason: String, val transferLeadership: Boolean = false) : Effect

    /** Writes a log line. */
    data class Log(val level: LogLevel, val text: String) : Effect
}
