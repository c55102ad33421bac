package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Offer
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * A decision recorded in the log. Replaying the events of a job, or of the machine inventory, in order rebuilds its state; replay
 * needs only the decisions, not the inputs that led to them.
 *
 * Each event affects exactly one snapshot, so that compaction can store a snapshot and delete its events independently of other
 * snapshots. Frequent events are stored as arrays without field names, so the order of their fields is part of the stored format.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
sealed interface Event {
    /** An event that changes one job. */
    sealed interface JobEvent : Event {
        val job: JobId
    }

    /** An event that changes the machine inventory. */
    sealed interface InventoryEvent : Event

    /** A submitted job was accepted; [acceptedAtWallMs] is the wall-clock time of the acceptance. */
    @Serializable
    @SerialName("accepted")
    data class JobAccepted(val spec: JobSpec, @SerialName("wallMs") val acceptedAtWallMs: Long) : JobEvent {
        override val job get() = spec.id
    }

    /** The job was cancelled by a user; none of its tasks is started any more. */
    @Serializable
    @SerialName("cancelled")
    data class JobCancelled(override val job: JobId) : JobEvent

    /** Attempt [number] of task [taskIndex] was placed on [machine]. */
    @Serializable
    @CborArray
    @SerialName("start")
    data class AttemptStarted(override val job: JobId, val taskIndex: Int, val number: Long, val machine: MachineId) : JobEvent

    /** Attempt [number] is confirmed not to be running any more; the task may be started again unless it is completed. */
    @Serializable
    @CborArray
    @SerialName("over")
    data class AttemptTerminated(override val job: JobId, val taskIndex: Int, val number: Long) : JobEvent

    /** Task [taskIndex] was completed by attempt [number]. If that attempt is still live, this event also records its termination. */
    @Serializable
    @CborArray
    @SerialName("done")
    data class TaskCompleted(override val job: JobId, val taskIndex: Int, val number: Long) : JobEvent

    /** A rental of [count] machines was requested; [request] is the idempotency key of the call to the cloud provider. */
    @Serializable
    @SerialName("rent")
    data class RentalRequested(val request: String, val offer: Offer, val count: Int) : InventoryEvent

    /** The cloud provider has answered the rental [request] by renting out machines or by a refusal. */
    @Serializable
    @SerialName("rented")
    data class RentalResolved(val request: String) : InventoryEvent

    /** Termination of [machine] was requested. */
    @Serializable
    @SerialName("retire")
    data class MachineTerminationRequested(val machine: MachineId) : InventoryEvent

    /** The termination of [machine] is confirmed. */
    @Serializable
    @SerialName("gone")
    data class MachineTerminated(val machine: MachineId) : InventoryEvent
}
