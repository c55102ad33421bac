package cleathitch.scheduler.api

import cleathitch.scheduler.model.MachineId

/** The cloud provider's response to a rental request. */
sealed interface RentalAnswer {
    /** These machines are rented, possibly fewer than requested. */
    data class Rented(val machines: List<MachineId>) : RentalAnswer

    /** The cloud provider currently has no capacity for the requested offer. */
    data object NoCapacity : RentalAnswer

    /** The cloud provider rejected the request itself, so retrying doesn't help. */
    data object Rejected : RentalAnswer

    /** There was no response, or a malformed or unexpected one; the request is resent under the same name. */
    data object Unknown : RentalAnswer
}
