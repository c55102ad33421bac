package cleathitch.scheduler.api

import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.ListedMachine
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.RequestId

/** What reaches the engine. */
sealed interface Input {
    data class Submit(val request: RequestId, val spec: JobSpec) : Input
    data class Poll(val request: RequestId, val job: JobId) : Input
    data class Cancel(val request: RequestId, val job: JobId) : Input

    /** A report of a machine that came to this node itself and waits for an answer. */
    data class HeartbeatReceived(val request: RequestId, val report: Heartbeat) : Input

    /** Reports of machines and polls of users that came to a follower, each of which waits for its answer. */
    data class FollowerBatchReceived(val request: RequestId, val reports: List<ForwardedHeartbeat>, val polls: List<JobId> = emptyList()) :
        Input

    /** A report that came as the answer to orders sent directly. */
    data class ProbeAnswered(val report: Heartbeat) : Input

    /** Orders or a question sent directly to a machine got no answer. */
    data class DirectCallUnanswered(val machine: MachineId) : Input

    data class LeaseRenewed(val untilMs: Long) : Input
    data class CommitSucceeded(val seq: LogIndex, val revision: Long) : Input
    data class MachineTypesListed(val types: List<MachineType>) : Input
    data class MachinesListed(val machines: List<ListedMachine>) : Input
    data class RentalCompleted(val request: String, val answer: RentalAnswer) : Input
    data class MachinesTerminated(val machines: List<MachineId>) : Input

    /** What an earlier leader told of machines' images: a hint for placement, on which no rule rests. */
    data class ImageCacheHintsReceived(val images: Map<MachineId, ImageCache>) : Input
    data object Tick : Input
}
