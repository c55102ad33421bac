package cleathitch.scheduler.api

import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.WorkerCommand

/** What the engine wants done, in this order. */
sealed interface Effect {
    data class Answer(val request: RequestId, val reply: UserReply) : Effect
    data class AnswerHeartbeat(val request: RequestId, val token: FencingToken, val commands: List<WorkerCommand>) : Effect
    data class RefuseHeartbeat(val request: RequestId) : Effect

    /** The decisions about a follower's reports and the answers to its polls, each in the order of the batch. */
    data class AnswerFollower(val request: RequestId, val decisions: List<HeartbeatDecision>, val statuses: List<UserReply> = emptyList()) :
        Effect
    data class Write(val commit: Commit) : Effect

    /** Something that goes to a worker other than as the answer to its report. */
    sealed interface ToWorker : Effect {
        val machine: MachineId
    }

    data class SendCommands(
        override val machine: MachineId,
        val address: String,
        val incarnation: Long,
        val token: FencingToken,
        val commands: List<WorkerCommand>,
    ) : ToWorker

    /** Asks a machine for its report. */
    data class Probe(override val machine: MachineId, val address: String) : ToWorker
    data class Rent(val asked: Event.RentalRequested) : Effect
    data class TerminateMachines(val machines: List<MachineId>) : Effect

    /** For the followers, of which one may lead next. */
    data class ShareImageCacheHints(val images: Map<MachineId, ImageCache>) : Effect

    /** Gives the term up; [transferLeadership] leaves the next one to others, who are better placed. */
    data class StepDown(val reason: String, val transferLeadership: Boolean = false) : Effect
    data class Log(val level: LogLevel, val text: String) : Effect
}
