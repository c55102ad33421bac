package cleathitch.scheduler.log

import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.Serializable

/** Rentals and returns whose fate isn't known yet, after the record [upTo]. */
@Serializable
data class InventorySnapshot(val upTo: Long, val rentals: List<Event.RentalRequested>, val retired: List<MachineId>)
