package cleathitch.scheduler.capacity

import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import kotlin.math.max
import kotlin.math.min

/**
 * Scale-out: which machines to rent for the tasks that fit nowhere. Machines that boot and rentals without an answer serve
 * demands first, so that one shortage isn't rented for twice; what they leave goes to the cheapest offers.
 * Holds no state between calls; confined to the leader's event loop.
 */
class CapacityPlanner(private val deployment: Deployment, private val inventory: Inventory) {
    /** The rentals for [demands], which are served in this order, with [maxCalls] calls at most. */
    fun plan(demands: List<MachineDemand>, nowMs: Long, maxCalls: Int): List<PlannedRental> {
        val capacities = capacityOnItsWay()
        val plan = RentalPlan(maxCalls)
        val unservedBySpot = ArrayList<MachineDemand>()
        for (demand in demands.flatMap(::splitByZone)) {
            val spotAllowed = demand.placementClass.spotAllowed
            var left = demand.tasks
            for (capacity in capacities) {
                if (left == 0) break
                if (demand.placementClass.permits(capacity.offer)) left -= capacity.assign(demand, left)
            }
            rent(demand, left, nowMs, plan, spotOnly = spotAllowed) { capacity ->
                left -= capacity.assign(demand, left)
                capacities += capacity
            }
            if (spotAllowed) unservedBySpot += demand.copy(tasks = min(left, demand.urgentTasks))
        }
        // What may run on spot machines gets others only if it can neither have those nor wait.
        for (demand in unservedBySpot) rent(demand, demand.tasks, nowMs, plan, spotOnly = false) {}
        return plan.rentals()
    }

    /** Machines that boot, then those of rentals without an answer. */
    private fun capacityOnItsWay(): ArrayList<FreeCapacity> {
        val capacities = inventory.machines.values.filter { it.state == MachineState.STARTING }
            .mapNotNullTo(ArrayList()) { machine -> machine.type?.let { FreeCapacity(machine.offer, it) } }
        inventory.pendingRentals.values.forEach { rental ->
            inventory.types[rental.offer.type]?.let { type ->
                repeat(rental.count) { capacities += FreeCapacity(rental.offer, type) }
            }
        }
        return capacities
    }

    /** A spread job's tasks need room in more than one zone: its demand becomes one for each zone. */
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

    /** Adds machines for [tasks] tasks of the demand to the plan, as far as offers and calls go. */
    private fun rent(
        demand: MachineDemand,
        tasks: Int,
        nowMs: Long,
        plan: RentalPlan,
        spotOnly: Boolean,
        onPlanned: (FreeCapacity) -> Unit,
    ) {
        var left = tasks
        while (left > 0) {
            val offer = cheapestOffer(demand, left, nowMs, plan, spotOnly) ?: return
            val type = inventory.types.getValue(offer.type)
            val tasksPerMachine = (demand.placementClass.fittingTasks(type) * demand.consecutiveTasks(type)).toInt()
            val machines = min(plan.remainingMachines(offer), max(1, left / tasksPerMachine))
            plan.add(offer, machines)
            repeat(machines) { onPlanned(FreeCapacity(offer, type)) }
            left -= machines * tasksPerMachine
        }
    }

    /** The cheapest permitted offer for each task that it serves, or null if none can be rented now. */
    private fun cheapestOffer(demand: MachineDemand, tasks: Int, nowMs: Long, plan: RentalPlan, spotOnly: Boolean): Offer? {
        val placementClass = demand.placementClass
        return inventory.types.values.asSequence()
            .filter { it.canHold(placementClass) }
            .flatMap(::offersOf)
            .filter { placementClass.permits(it) && (it.spot || !spotOnly) && it.zone !in inventory.partitionedZones }
            .filter { !inventory.isRefused(it, nowMs) && plan.remainingMachines(it) > 0 }
            .minByOrNull { offer ->
                val type = inventory.types.getValue(offer.type)
                val usedTasks = min(tasks, placementClass.fittingTasks(type))
                costPerTask(type, offer.spot, usedTasks)
            }
    }

    private fun offersOf(type: MachineType): Sequence<Offer> = type.zones.asSequence().flatMap { zone ->
        sequenceOf(Offer(type.name, zone, spot = true), Offer(type.name, zone, spot = false))
    }

    /** The price for each task, with the boot time spread over the time for which the machine is likely kept. */
    private fun costPerTask(type: MachineType, spot: Boolean, tasks: Int): Double =
        type.priceOf(spot) / tasks * (1 + type.bootS / (deployment.leaseS * EXPECTED_LIFETIME_LEASES))

    private companion object {
        /** A machine is kept for about so many lease durations; its boot is paid for out of that. */
        const val EXPECTED_LIFETIME_LEASES = 6.0
    }
}
