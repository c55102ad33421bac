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
 * What the journal records. Replaying the events of a cell in order gives the cell's state again;
 * replay reads decisions, never their inputs. Each event touches one cell only, so that a cell can be
 * written out ("folded") and its events trimmed without regard to the others. The events of which there
 * are many are stored as arrays, without their fields' names: a start takes a third of the room so.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
sealed interface Event {
    sealed interface JobEvent : Event {
        val job: JobId
    }

    sealed interface InventoryEvent : Event

    @Serializable
    @SerialName("accepted")
    data class JobAccepted(val spec: JobSpec, val wallMs: Long) : JobEvent {
        override val job get() = spec.id
    }

    @Serializable
    @SerialName("cancelled")
    data class JobCancelled(override val job: JobId) : JobEvent

    @Serializable
    @CborArray
    @SerialName("start")
    data class AttemptStarted(override val job: JobId, val index: Int, val number: Long, val machine: MachineId) : JobEvent

    /** The attempt is surely gone from its machine; the task may start elsewhere. */
    @Serializable
    @CborArray
    @SerialName("over")
    data class AttemptTerminated(override val job: JobId, val index: Int, val number: Long) : JobEvent

    /** The task's result is there; if its live attempt is [number], that is over. */
    @Serializable
    @CborArray
    @SerialName("done")
    data class TaskCompleted(override val job: JobId, val index: Int, val number: Long) : JobEvent

    @Serializable
    @SerialName("rent")
    data class RentalRequested(val request: String, val offer: Offer, val count: Int) : InventoryEvent

    @Serializable
    @SerialName("rented")
    data class RentalResolved(val request: String) : InventoryEvent

    @Serializable
    @SerialName("retire")
    data class MachineTerminationRequested(val machine: MachineId) : InventoryEvent

    @Serializable
    @SerialName("gone")
    data class MachineTerminated(val machine: MachineId) : InventoryEvent
}
