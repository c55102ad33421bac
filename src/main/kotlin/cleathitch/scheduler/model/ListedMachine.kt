package cleathitch.scheduler.model

/** A machine as the cloud lists it. */
data class ListedMachine(val machine: MachineId, val address: String, val offer: Offer, val state: ListedState, val ageS: Double)

enum class ListedState { STARTING, RUNNING, FAILED }
