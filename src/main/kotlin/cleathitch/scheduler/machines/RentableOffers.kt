package cleathitch.scheduler.machines

import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.PlacementClass

/** The offers that can be rented at present: neither refused recently nor in a partitioned zone. Keeps no state of its own. */
class RentableOffers(private val inventory: Inventory) {
    /** The rentable offers whose machines fit a task of the class and are permitted for it. */
    fun offersFor(placementClass: PlacementClass, nowMs: Long): Sequence<Offer> = inventory.types.values.asSequence()
        .filter { it.fits(placementClass) }
        .flatMap(::offersOf)
        .filter { placementClass.permits(it) && it.zone !in inventory.partitionedZones && !inventory.isRefused(it, nowMs) }

    private fun offersOf(type: MachineType): Sequence<Offer> = type.zones.asSequence().flatMap { zone ->
        sequenceOf(Offer(type.name, zone, spot = true), Offer(type.name, zone, spot = false))
    }
}
