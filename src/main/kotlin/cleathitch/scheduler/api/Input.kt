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
import cleathitch.scheduler.model.TransactionSize

/** An external event that the scheduler handles. An input with a [RequestId] is answered by a later [Effect]. */
sealed interface Input {
    /** A user submits a job; submitting it again is idempotent. */
    data class Submit(val request: RequestId, val spec: JobSpec) : Input

    /** A user asks for the status of a job. */
    data class Poll(val request: RequestId, val job: JobId) : Input

    /** A user cancels a job; cancelling it again is idempotent. */
    data class Cancel(val request: RequestId, val job: JobId) : Input

    /** A worker sent a heartbeat directly to this controller. */
    data class HeartbeatReceived(val request: RequestId, val heartbeat: Heartbeat) : Input

    /** A follower forwards workers' heartbeats and users' polls; a single effect answers all of them. */
    data class FollowerBatchReceived(
        val request: RequestId,
        val heartbeats: List<ForwardedHeartbeat>,
        val polls: List<JobId> = emptyList(),
    ) : Input

    /** A worker answered a probe or a direct command call with a heartbeat. */
    data class ProbeAnswered(val heartbeat: Heartbeat) : Input

    /** The machine didn't answer a probe or a direct command call. */
    data class DirectCallUnanswered(val machine: MachineId) : Input

    /** The key-value store renewed this leader's lease until [untilMs] on the monotonic clock. */
    data class LeaseRenewed(val untilMs: Long) : Input

    /** The key-value store applied the commit whose last record is [index]; new fencing tokens are derived from its [revision]. */
    data class CommitSucceeded(val index: LogIndex, val revision: Long) : Input

    /**
     * The key-value store rejected the commit whose last record is [index] for its content, which has [size]. The commit was not applied
     * and never will be.
     */
    data class CommitRejected(val index: LogIndex, val size: TransactionSize) : Input

    /** The cloud provider listed its machine types, with their zones and prices. */
    data class MachineTypesListed(val types: List<MachineType>) : Input

    /** The cloud provider listed the machines that are rented. */
    data class MachinesListed(val machines: List<ListedMachine>) : Input

    /** The cloud provider answered the rental [request], or the call failed. */
    data class RentalCompleted(val request: String, val answer: RentalAnswer) : Input

    /** The cloud provider confirmed that these machines are terminated, so that nothing runs on them any more. */
    data class MachinesTerminated(val machines: List<MachineId>) : Input

    /** Image cache contents shared by an earlier leader. They are only a hint for placement; no invariant depends on them. */
    data class ImageCacheHintsReceived(val images: Map<MachineId, ImageCache>) : Input

    /** Time has passed without any other input. */
    data object Tick : Input
}
