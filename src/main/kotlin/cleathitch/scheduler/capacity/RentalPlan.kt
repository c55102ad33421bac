package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.Offer
import kotlin.math.min

/**
 * The machines to rent, by offer. They are batched into as few calls as the cloud provider's limit on machines per call allows;
 * [maxCalls] limits the number of calls.
 */
internal class RentalPlan(private val maxCalls: Int) {
    private val machinesByOffer = LinkedHashMap<Offer, Int>()

    /** The number of machines of [offer] that still fit into the remaining calls. */
    fun remainingMachines(offer: Offer): Int {
        val otherCalls = machinesByOffer.entries.sumOf { (other, machines) -> if (other == offer) 0 else callsNeeded(machines) }
        return (maxCalls - otherCalls) * MAX_MACHINES_PER_CALL - (machinesByOffer[offer] ?: 0)
    }

    fun add(offer: Offer, machines: Int) {
        machinesByOffer.merge(offer, machines, Int::plus)
    }

    /** The rental calls, in the order in which their offers were first added. */
    fun rentals(): List<PlannedRental> = machinesByOffer.flatMap { (offer, machines) ->
        List(callsNeeded(machines)) { call ->
            PlannedRental(offer, min(MAX_MACHINES_PER_CALL, machines - call * MAX_MACHINES_PER_CALL))
        }
    }

    private fun callsNeeded(machines: Int) = (machines + MAX_MACHINES_PER_CALL - 1) / MAX_MACHINES_PER_CALL

    private companion object {
        /** The cloud provider's limit on machines per rental call. */
        const val MAX_MACHINES_PER_CALL = 50
    }
}
