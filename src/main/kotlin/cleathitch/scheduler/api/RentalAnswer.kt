package cleathitch.scheduler.api

import cleathitch.scheduler.model.MachineId

/** How the cloud answered a rental. */
sealed interface RentalAnswer {
    /** These machines are rented, perhaps fewer than asked for. */
    data class Rented(val machines: List<MachineId>) : RentalAnswer

    /** The cloud has no machine like this at the moment. */
    data object NoCapacity : RentalAnswer

    /** The cloud rejected the request itself; sending it again doesn't help. */
    data object Rejected : RentalAnswer

    /** No answer, or one that can't be understood; the request is sent again under its name. */
    data object Unknown : RentalAnswer
}
