package cleathitch.scheduler.log

import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Rentals and terminations of machines whose outcome isn't known after the record [lastIncludedIndex]. */
@Serializable
data class InventorySnapshot(
    @SerialName("upTo") val lastIncludedIndex: LogIndex,
    @SerialName("rentals") val pendingRentals: List<Event.RentalRequested>,
    @SerialName("retired") val terminatingMachines: List<MachineId>,
)
