package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.Offer
import kotlin.math.min

/** The machines to rent, by offer, gathered into as few calls as the cloud's limit for one call allows; [maxCalls] at most. */
internal class RentalPlan(private val maxCalls: Int) {
    private val machinesByOffer = LinkedHashMap<Offer, Int>()

    /** How many more machines of [offer] fit into the calls that are left. */
    fun remainingMachines(offer: Offer): Int {
        val otherCalls = machinesByOffer.entries.sumOf { (other, machines) -> if (other == offer) 0 else callsFor(machines) }
        return (maxCalls - otherCalls) * MAX_MACHINES_PER_CALL - (machinesByOffer[offer] ?: 0)
    }

    fun add(offer: Offer, machines: Int) {
        machinesByOffer.merge(offer, machines, Int::plus)
    }

    /** The calls, offers in the order in which they were first added. */
    fun rentals(): List<PlannedRental> = machinesByOffer.flatMap { (offer, machines) ->
        List(callsFor(machines)) { call ->
            PlannedRental(offer, min(MAX_MACHINES_PER_CALL, machines - call * MAX_MACHINES_PER_CALL))
        }
    }

    private fun callsFor(machines: Int) = (machines + MAX_MACHINES_PER_CALL - 1) / MAX_MACHINES_PER_CALL

    private companion object {
        /** The cloud's limit for one rental call. */
        const val MAX_MACHINES_PER_CALL = 50
    }
}
