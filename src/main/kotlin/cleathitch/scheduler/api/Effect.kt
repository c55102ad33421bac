package cleathitch.scheduler.api

import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.WorkerCommand

/** What the scheduler wants done, to be executed in the order given. */
sealed interface Effect {
    /** Answers a user's submission, poll or cancellation. */
    data class Answer(val request: RequestId, val reply: UserReply) : Effect

    /** Answers a worker's heartbeat, which renews its lease, with [commands] under [token]. */
    data class AnswerHeartbeat(val request: RequestId, val token: FencingToken, val commands: List<WorkerCommand>) : Effect

    /** Turns a worker's heartbeat down, so that its lease isn't renewed. */
    data class RefuseHeartbeat(val request: RequestId) : Effect

    /** Answers a follower's batch: the decisions about its heartbeats and the answers to its polls, each in the batch's order. */
    data class AnswerFollower(val request: RequestId, val decisions: List<HeartbeatDecision>, val statuses: List<UserReply> = emptyList()) :
        Effect

    /** Commits changes to the key-value store. At most one commit is in flight. */
    data class Write(val commit: Commit) : Effect

    /** A direct call to a worker, other than the answer to its heartbeat. */
    sealed interface ToWorker : Effect {
        /** The worker's machine. */
        val machine: MachineId
    }

    /** Sends commands to a worker; they count only in its [incarnation], and under [token]. */
    data class SendCommands(
        override val machine: MachineId,
        val address: String,
        val incarnation: Long,
        val token: FencingToken,
        val commands: List<WorkerCommand>,
    ) : ToWorker

    /** Asks a worker for a heartbeat. */
    data class Probe(override val machine: MachineId, val address: String) : ToWorker

    /** Asks the cloud for machines. The cloud treats a repeated request as the same rental. */
    data class Rent(val rental: Event.RentalRequested) : Effect

    /** Asks the cloud to terminate machines. */
    data class TerminateMachines(val machines: List<MachineId>) : Effect

    /** Shares the machines' image caches with the followers, one of which may lead next. */
    data class ShareImageCacheHints(val images: Map<MachineId, ImageCache>) : Effect

    /** Gives the term up; [transferLeadership] leaves the next one to other controllers, which are better placed. */
    data class StepDown(val reason: String, val transferLeadership: Boolean = false) : Effect

    /** Writes a log line. */
    data class Log(val level: LogLevel, val text: String) : Effect
}
