package cleathitch.scheduler.api

import cleathitch.scheduler.model.MachineId

sealed interface RentalAnswer {
    data class Rented(val machines: List<MachineId>) : RentalAnswer
    data object NoCapacity : RentalAnswer

    /** The cloud said no to the request itself; asking again won't help. */
    data object Rejected : RentalAnswer

    /** No answer, or one that says nothing; the request is asked again under its name. */
    data object Unknown : RentalAnswer
}
