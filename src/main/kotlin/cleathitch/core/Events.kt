package cleathitch.core

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
    sealed interface OfJob : Event {
        val job: JobId
    }

    sealed interface OfFleet : Event

    @Serializable
    @SerialName("accepted")
    data class JobAccepted(val spec: JobSpec, val wallMs: Long) : OfJob {
        override val job get() = spec.id
    }

    @Serializable
    @SerialName("cancelled")
    data class JobCancelled(override val job: JobId) : OfJob

    @Serializable
    @CborArray
    @SerialName("start")
    data class AttemptStarted(override val job: JobId, val index: Int, val number: Long, val machine: MachineId) : OfJob

    /** The attempt is surely gone from its machine; the task may start elsewhere. */
    @Serializable
    @CborArray
    @SerialName("over")
    data class AttemptOver(override val job: JobId, val index: Int, val number: Long) : OfJob

    /** The task's result is there; if its live attempt is [number], that is over. */
    @Serializable
    @CborArray
    @SerialName("done")
    data class TaskDone(override val job: JobId, val index: Int, val number: Long) : OfJob

    @Serializable
    @SerialName("rent")
    data class RentalAsked(val request: String, val offer: Offer, val count: Int) : OfFleet

    @Serializable
    @SerialName("rented")
    data class RentalSettled(val request: String) : OfFleet

    @Serializable
    @SerialName("retire")
    data class MachineRetired(val machine: MachineId) : OfFleet

    @Serializable
    @SerialName("gone")
    data class MachineGone(val machine: MachineId) : OfFleet
}

/** The events of one commit. */
@Serializable
data class Record(val events: List<Event>)

@Serializable
enum class FinalState { DONE, CANCELLED }

@Serializable
@CborArray
data class LiveAttempt(val index: Int, val number: Long, val machine: MachineId)

/** A job's cell as it stands after the record [upTo]. */
@Serializable
@Suppress("ArrayInDataClass") // never compared
data class JobCell(
    val upTo: Long,
    val spec: JobSpec,
    val wallMs: Long,
    val cancelled: Boolean,
    val done: ByteArray,
    val live: List<LiveAttempt>,
    val lastNumber: Long,
)

/** Rentals and returns whose fate isn't known yet, after the record [upTo]. */
@Serializable
data class FleetCell(val upTo: Long, val rentals: List<Event.RentalAsked>, val retired: List<MachineId>)

/** The final states of jobs that are over, many to a value. */
@Serializable
data class FinalsCell(val done: List<JobId>, val cancelled: List<JobId>)
