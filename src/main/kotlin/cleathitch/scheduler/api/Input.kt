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

/** What happens outside the scheduler and concerns it. An input with a [RequestId] waits for the effect that answers it. */
sealed interface Input {
    /** A user submits a job; submitting it again is idempotent. */
    data class Submit(val request: RequestId, val spec: JobSpec) : Input

    /** A user asks for the status of a job. */
    data class Poll(val request: RequestId, val job: JobId) : Input

    /** A user cancels a job; cancelling it again is idempotent. */
    data class Cancel(val request: RequestId, val job: JobId) : Input

    /** A worker sent a heartbeat to this controller itself. */
    data class HeartbeatReceived(val request: RequestId, val heartbeat: Heartbeat) : Input

    /** A follower passes on workers' heartbeats and users' polls; one effect answers them all. */
    data class FollowerBatchReceived(
        val request: RequestId,
        val heartbeats: List<ForwardedHeartbeat>,
        val polls: List<JobId> = emptyList(),
    ) : Input

    /** A worker answered a probe, or commands sent directly, with its heartbeat. */
    data class ProbeAnswered(val heartbeat: Heartbeat) : Input

    /** A probe, or commands sent directly, got no answer from the machine. */
    data class DirectCallUnanswered(val machine: MachineId) : Input

    /** The key-value store extended this leader's lease, up to [untilMs] of the steady clock. */
    data class LeaseRenewed(val untilMs: Long) : Input

    /** The commit that ends with record [index] is durable; [revision] is the store's revision, a source of new fencing tokens. */
    data class CommitSucceeded(val index: LogIndex, val revision: Long) : Input

    /** The cloud listed its machine types, with their zones and prices. */
    data class MachineTypesListed(val types: List<MachineType>) : Input

    /** The cloud listed the machines that are rented. */
    data class MachinesListed(val machines: List<ListedMachine>) : Input

    /** The cloud answered the rental [request], or the call failed. */
    data class RentalCompleted(val request: String, val answer: RentalAnswer) : Input

    /** The cloud confirmed that these machines are terminated: nothing runs there any more. */
    data class MachinesTerminated(val machines: List<MachineId>) : Input

    /** What an earlier leader shared of machines' image caches: a hint for placement, on which no invariant rests. */
    data class ImageCacheHintsReceived(val images: Map<MachineId, ImageCache>) : Input

    /** Nothing happened but that time passed. */
    data object Tick : Input
}
