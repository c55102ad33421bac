package cleathitch.scheduler.model

/** An entry of the cloud provider's machine list. */
data class ListedMachine(
    val machine: MachineId,
    /** Address at which the machine's worker accepts direct commands, as `host:port`. */
    val address: String,
    val offer: Offer,
    val state: ListedState,
    /** Seconds since the machine was rented. */
    val ageS: Double,
)

/** A machine's state as reported by the cloud provider; the heartbeats of its worker may be more up to date. */
enum class ListedState { STARTING, RUNNING, FAILED }
