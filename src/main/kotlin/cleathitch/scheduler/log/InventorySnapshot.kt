package cleathitch.scheduler.log

import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The machine rentals and terminations that are still unresolved as of record [lastIncludedIndex]. */
@Serializable
data class InventorySnapshot(
    @SerialName("upTo") val lastIncludedIndex: LogIndex,
    @SerialName("rentals") val pendingRentals: List<Event.RentalRequested>,
    @SerialName("retired") val terminatingMachines: List<MachineId>,
)
