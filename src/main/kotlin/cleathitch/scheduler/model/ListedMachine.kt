package cleathitch.scheduler.model

/** A machine as the cloud lists it. */
data class ListedMachine(
    val machine: MachineId,
    /** Where its worker takes direct commands, as `host:port`. */
    val address: String,
    val offer: Offer,
    val state: ListedState,
    /** Seconds since it was rented. */
    val ageS: Double,
)

/** A machine's state by the cloud's account; the worker on it may know better. */
enum class ListedState { STARTING, RUNNING, FAILED }
