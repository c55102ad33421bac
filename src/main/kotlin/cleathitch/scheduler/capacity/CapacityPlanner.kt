package cleathitch.scheduler.capacity

import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.machines.RentableOffers
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.PlacementClass
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
        for (demand in demands) {
            val spotAllowed = demand.placementClass.spotAllowed
            var unmet = demand
            for (part in splitByZone(demand, capacities, nowMs, spotOnly = spotAllowed)) {
                val met = part.tasks - serve(part, capacities, nowMs, plan, spotOnly = spotAllowed)
                unmet = unmet.without(met, part.placementClass.zone)
            }
            if (spotAllowed) unmetBySpot += unmet.copy(tasks = min(unmet.tasks, demand.urgentTasks))
        }
        // On-demand machines are rented for spot-allowed tasks only if the tasks can't wait and no spot machine is available.
        for (demand in unmetBySpot) {
            for (part in splitByZone(demand, capacities, nowMs, spotOnly = false)) rent(part, part.tasks, nowMs, plan, spotOnly = false) {}
        }
        return plan.rentals()
    }

    /** Assigns the demand to [capacities] and rents machines for the rest, which are added to them. Returns the number of unmet tasks. */
    private fun serve(
        demand: MachineDemand,
        capacities: MutableList<FreeCapacity>,
        nowMs: Long,
        plan: RentalPlan,
        spotOnly: Boolean,
    ): Int {
        var remaining = demand.tasks
        for (capacity in capacities) {
            if (remaining == 0) break
            if (demand.placementClass.permits(capacity.offer)) remaining -= capacity.assign(demand, remaining)
        }
        rent(demand, remaining, nowMs, plan, spotOnly) { capacity ->
            remaining -= capacity.assign(demand, remaining)
            capacities += capacity
        }
        return remaining
    }

    /** What remains of the demand after [tasks] of its tasks have been assigned to [zone], null for any zone. */
    private fun MachineDemand.without(tasks: Int, zone: String?) =
        copy(tasks = this.tasks - tasks, allowance = if (zone == null) allowance else allowance.after(zone, tasks))

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

    /**
     * Splits the demand of jobs with zone constraints into one demand per zone, for the zones that may take its tasks and have pending
     * capacity or an offer. A zone whose offers are refused gets no share, so that its tasks don't wait while another zone has machines.
     */
    private fun splitByZone(demand: MachineDemand, capacities: List<FreeCapacity>, nowMs: Long, spotOnly: Boolean): List<MachineDemand> {
        val placementClass = demand.placementClass
        if (demand.allowance.tasksByZone == null || demand.tasks == 0) return listOf(demand)
        val pending = capacities.filter { placementClass.permits(it.offer) }.groupingBy { it.offer.zone }
            .fold(0) { tasks, capacity -> tasks + capacity.fittingTasks(placementClass) }
        val offers = rentableOffers.offersFor(placementClass, nowMs).filter { it.spot || !spotOnly }
        val lowestCost = offers.groupingBy { it.zone }
            .fold(Double.MAX_VALUE) { lowest, offer -> min(lowest, costPerTask(offer, demand.tasks, placementClass)) }
        val zones = inventory.zones.filter { it in lowestCost || it in pending }.map { ZoneSupply(it, pending[it] ?: 0, lowestCost[it]) }
        return ZoneSplit.split(demand.tasks, zones, demand.allowance)
            .map { (zone, tasks) -> demand.copy(placementClass = placementClass.copy(zone = zone), tasks = tasks) }
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
            .minByOrNull { costPerTask(it, tasks, placementClass) }
    }

    /** The price per task if up to [tasks] tasks use the machine, with the boot time amortized over its expected lifetime. */
    private fun costPerTask(offer: Offer, tasks: Int, placementClass: PlacementClass): Double {
        val type = inventory.types.getValue(offer.type)
        val usedTasks = min(tasks, placementClass.fittingTasks(type))
        return type.priceOf(offer.spot) / usedTasks * (1 + type.bootS / (deployment.workerLeaseS * EXPECTED_LIFETIME_IN_LEASES))
    }

    private companion object {
        /** The expected lifetime of a machine, as a multiple of [Deployment.workerLeaseS]; its boot time is amortized over it. */
        const val EXPECTED_LIFETIME_IN_LEASES = 6.0
    }
}
