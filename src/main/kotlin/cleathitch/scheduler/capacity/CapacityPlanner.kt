package cleathitch.scheduler.capacity

import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.machines.RentableOffers
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import kotlin.math.max
import kotlin.math.min

/**
 * Scale-out: decides which machines to rent for tasks that fit on no existing machine. Tasks are first assigned to booting machines
 * and to rentals that the cloud provider hasn't answered yet, so that no second machine is rented for the same task. For the
 * remaining tasks, the cheapest offers are rented. Keeps no state between calls. Confined to the leader's event loop.
 */
class CapacityPlanner(private val deployment: Deployment, private val inventory: Inventory) {
    private val rentableOffers = RentableOffers(inventory)

    /** Plans the rentals for [demands], in the given order, with at most [maxCalls] rental calls. */
    fun plan(demands: List<MachineDemand>, nowMs: Long, maxCalls: Int): List<PlannedRental> {
        val capacities = pendingCapacity()
        val plan = RentalPlan(maxCalls)
        val unmetBySpot = ArrayList<MachineDemand>()
        for (demand in demands.flatMap(::splitByZone)) {
            val spotAllowed = demand.placementClass.spotAllowed
            var remaining = demand.tasks
            for (capacity in capacities) {
                if (remaining == 0) break
                if (demand.placementClass.permits(capacity.offer)) remaining -= capacity.assign(demand, remaining)
            }
            rent(demand, remaining, nowMs, plan, spotOnly = spotAllowed) { capacity ->
                remaining -= capacity.assign(demand, remaining)
                capacities += capacity
            }
            if (spotAllowed) unmetBySpot += demand.copy(tasks = min(remaining, demand.urgentTasks))
        }
        // On-demand machines are rented for spot-allowed tasks only if the tasks can't wait and no spot machine is available.
        for (demand in unmetBySpot) rent(demand, demand.tasks, nowMs, plan, spotOnly = false) {}
        return plan.rentals()
    }

    /** The capacity of booting machines, then that of unanswered rentals. */
    private fun pendingCapacity(): ArrayList<FreeCapacity> {
        val capacities = inventory.machines.values.filter { it.state == MachineState.STARTING }
            .mapNotNullTo(ArrayList()) { machine -> machine.type?.let { FreeCapacity(machine.offer, it) } }
        inventory.pendingRentals.values.forEach { rental ->
            inventory.types[rental.offer.type]?.let { type ->
                repeat(rental.count) { capacities += FreeCapacity(rental.offer, type) }
            }
        }
        return capacities
    }

    /** Splits the demand of spread jobs into one demand per zone, because the tasks of such a job need resources in several zones. */
    private fun splitByZone(demand: MachineDemand): List<MachineDemand> {
        val placementClass = demand.placementClass
        val zones = inventory.zones
        if (!placementClass.spread || placementClass.zone != null || zones.size < 2) return listOf(demand)
        return zones.mapIndexed { index, zone ->
            fun share(tasks: Int) = tasks / zones.size + if (index < tasks % zones.size) 1 else 0
            demand.copy(
                placementClass = placementClass.copy(zone = zone),
                tasks = share(demand.tasks),
                urgentTasks = share(demand.urgentTasks),
            )
        }
    }

    /** Adds machines for [tasks] tasks of the demand to the plan, as far as offers and the call limit allow. */
    private fun rent(
        demand: MachineDemand,
        tasks: Int,
        nowMs: Long,
        plan: RentalPlan,
        spotOnly: Boolean,
        onPlanned: (FreeCapacity) -> Unit,
    ) {
        var remaining = tasks
        while (remaining > 0) {
            val offer = cheapestOffer(demand, remaining, nowMs, plan, spotOnly) ?: return
            val type = inventory.types.getValue(offer.type)
            val tasksPerMachine = (demand.placementClass.fittingTasks(type) * demand.consecutiveTasks(type)).toInt()
            val machines = min(plan.remainingMachines(offer), max(1, remaining / tasksPerMachine))
            plan.add(offer, machines)
            repeat(machines) { onPlanned(FreeCapacity(offer, type)) }
            remaining -= machines * tasksPerMachine
        }
    }

    /** The permitted offer with the lowest cost per task, or null if none can be rented now. */
    private fun cheapestOffer(demand: MachineDemand, tasks: Int, nowMs: Long, plan: RentalPlan, spotOnly: Boolean): Offer? {
        val placementClass = demand.placementClass
        return rentableOffers.offersFor(placementClass, nowMs)
            .filter { (it.spot || !spotOnly) && plan.remainingMachines(it) > 0 }
            .minByOrNull { offer ->
                val type = inventory.types.getValue(offer.type)
                val usedTasks = min(tasks, placementClass.fittingTasks(type))
                costPerTask(type, offer.spot, usedTasks)
            }
    }

    /** The price per task, with the boot time amortized over the expected lifetime of the machine. */
    private fun costPerTask(type: MachineType, spot: Boolean, tasks: Int): Double =
        type.priceOf(spot) / tasks * (1 + type.bootS / (deployment.workerLeaseS * EXPECTED_LIFETIME_IN_LEASES))

    private companion object {
        /** The expected lifetime of a machine, as a multiple of [Deployment.workerLeaseS]; its boot time is amortized over it. */
        const val EXPECTED_LIFETIME_IN_LEASES = 6.0
    }
}
