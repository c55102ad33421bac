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
 * A decision that the log records. Applying the events of a job, or of the machine inventory, in their order gives its state
 * again; replay needs the decisions alone, not the inputs that led to them.
 *
 * Each event changes one snapshot only, so that compaction can store a snapshot and delete its events without regard to others.
 * Events of which there are many are stored as arrays, without the names of their fields; there the order of the fields counts.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
sealed interface Event {
    /** Changes one job. */
    sealed interface JobEvent : Event {
        val job: JobId
    }

    /** Changes the machine inventory. */
    sealed interface InventoryEvent : Event

    /** A user's job was accepted, at [acceptedAtWallMs] by the wall clock. */
    @Serializable
    @SerialName("accepted")
    data class JobAccepted(val spec: JobSpec, @SerialName("wallMs") val acceptedAtWallMs: Long) : JobEvent {
        override val job get() = spec.id
    }

    /** A user has cancelled the job: none of its tasks starts any more. */
    @Serializable
    @SerialName("cancelled")
    data class JobCancelled(override val job: JobId) : JobEvent

    /** The attempt [number] at the task [taskIndex] is to run on [machine]. */
    @Serializable
    @CborArray
    @SerialName("start")
    data class AttemptStarted(override val job: JobId, val taskIndex: Int, val number: Long, val machine: MachineId) : JobEvent

    /** It is confirmed that the attempt [number] doesn't run any more; the task may start elsewhere. */
    @Serializable
    @CborArray
    @SerialName("over")
    data class AttemptTerminated(override val job: JobId, val taskIndex: Int, val number: Long) : JobEvent

    /** The task [taskIndex] is completed; if [number] is its live attempt, that has terminated. */
    @Serializable
    @CborArray
    @SerialName("done")
    data class TaskCompleted(override val job: JobId, val taskIndex: Int, val number: Long) : JobEvent

    /** [count] machines are to be rented; [request] makes the request to the cloud idempotent. */
    @Serializable
    @SerialName("rent")
    data class RentalRequested(val request: String, val offer: Offer, val count: Int) : InventoryEvent

    /** The cloud has answered the rental [request]. */
    @Serializable
    @SerialName("rented")
    data class RentalResolved(val request: String) : InventoryEvent

    /** [machine] is to be returned to the cloud. */
    @Serializable
    @SerialName("retire")
    data class MachineTerminationRequested(val machine: MachineId) : InventoryEvent

    /** It is confirmed that [machine] doesn't exist any more. */
    @Serializable
    @SerialName("gone")
    data class MachineTerminated(val machine: MachineId) : InventoryEvent
}
