package cleathitch.scheduler.machines

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.InventorySnapshot
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.PlacementClass
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.max
import kotlin.math.min

/** Which machines there are, and which to rent and return. */
class Inventory(private val deployment: Deployment, private val jobTable: JobTable) {
    val machines = LinkedHashMap<MachineId, Machine>()

    /** Prices move, and machines that reported before the first answer wait for their type. */
    var types: Map<String, MachineType> = emptyMap()
        set(value) {
            field = value
            zones = value.values.flatMapTo(LinkedHashSet()) { it.zones }
            machines.values.forEach { machine -> value[machine.offer.type]?.let { machine.type = it } }
        }

    /** All zones in which there are machines to rent. */
    var zones: Set<String> = emptySet()
        private set

    /** Zones that seem cut off: nothing is rented there. */
    var partitionedZones: Set<String> = emptySet()

    /** Asked for and recorded, and not answered yet. */
    val rentals = LinkedHashMap<String, Event.RentalRequested>()
    val retired = LinkedHashSet<MachineId>()
    private val refusedUntilMs = HashMap<Offer, Long>()

    /**
     * The class of tasks that want machines, how many of them, and for how many of these running tasks
     * leave no room in time either. Within [slackS] as many may run one after the other as it holds [runS].
     */
    data class Demand(val shape: PlacementClass, val count: Int, val late: Int, val slackS: Double = 0.0, val runS: Double = 0.0) {
        fun turns(type: MachineType): Double = if (runS <= 0) 1.0 else ((slackS - type.bootS) / runS).coerceAtLeast(1.0)
    }

    fun apply(event: Event.InventoryEvent) {
        when (event) {
            is Event.RentalRequested -> rentals[event.request] = event
            is Event.RentalResolved -> rentals.remove(event.request)
            is Event.MachineTerminationRequested -> {
                retired += event.machine
                machines[event.machine]?.state = MachineState.RETIRED
            }
            is Event.MachineTerminated -> {
                retired -= event.machine
                machines.remove(event.machine)
            }
        }
    }

    fun cell(upTo: LogIndex) = InventorySnapshot(upTo, rentals.values.toList(), retired.toList())

    fun restore(cell: InventorySnapshot) {
        cell.pendingRentals.forEach { rentals[it.request] = it }
        retired += cell.terminatingMachines
    }

    fun adopt(id: MachineId, offer: Offer, rentedAtMs: Long): Machine = machines.getOrPut(id) {
        Machine(id, offer, types[offer.type], rentedAtMs).also { if (id in retired) it.state = MachineState.RETIRED }
    }

    fun refused(offer: Offer, nowMs: Long) {
        refusedUntilMs[offer] = nowMs + (deployment.reportS * REFUSAL_REPORTS * 1000).toLong()
    }

    /** How many tasks of [shape] fit into what is free of [machine]. */
    fun roomFor(shape: PlacementClass, machine: Machine, without: List<Attempt> = emptyList()): Int {
        val type = machine.type ?: return 0
        val load = jobTable.loadOf(machine.id)
        return slots(
            shape,
            type.cpus - (load?.cpus ?: 0.0) + without.sumOf { it.job.spec.cpus },
            type.gpus - (load?.gpus ?: 0.0) + without.sumOf { it.job.spec.gpus },
            type.memoryGb - (load?.memoryGb ?: 0.0) + without.sumOf { it.job.spec.memoryGb },
        )
    }

    /**
     * What to rent for the tasks that fit nowhere, after those machines that are on their way; each pair
     * is one call, [maxCalls] at most.
     */
    fun wanted(demands: List<Demand>, nowMs: Long, maxCalls: Int): List<Pair<Offer, Int>> {
        val spaces = machines.values.filter { it.state == MachineState.STARTING }
            .mapNotNullTo(ArrayList()) { m -> m.type?.let { Space(m.offer, it) } }
        rentals.values.forEach { asked ->
            types[asked.offer.type]?.let { type -> repeat(asked.count) { spaces += Space(asked.offer, type) } }
        }
        val plan = Plan(maxCalls)
        val unserved = ArrayList<Demand>()
        for (demand in demands.flatMap(::byZone)) {
            var left = demand.count
            for (space in spaces) {
                if (left == 0) break
                if (allows(demand.shape, space.offer)) left -= space.take(demand, left)
            }
            rent(demand, left, nowMs, plan, spotOnly = demand.shape.spotAllowed) { space ->
                left -= space.take(demand, left)
                spaces += space
            }
            if (demand.shape.spotAllowed) unserved += demand.copy(count = min(left, demand.late))
        }
        // What may run on spot machines gets others only if it can neither have those nor wait.
        for (demand in unserved) rent(demand, demand.count, nowMs, plan, spotOnly = false) {}
        return plan.calls()
    }

    /** Plans machines for [count] tasks of the demand, as far as offers and calls go. */
    private fun rent(demand: Demand, count: Int, nowMs: Long, plan: Plan, spotOnly: Boolean, planned: (Space) -> Unit) {
        var left = count
        while (left > 0) {
            val offer = best(demand, left, nowMs, plan, spotOnly) ?: return
            val type = types.getValue(offer.type)
            val each = (slots(demand.shape, type.cpus, type.gpus, type.memoryGb) * demand.turns(type)).toInt()
            val machines = min(plan.room(offer), max(1, left / each))
            plan.add(offer, machines)
            repeat(machines) { planned(Space(offer, type)) }
            left -= machines * each
        }
    }

    /** A spread job's tasks need room in more than one zone. */
    private fun byZone(demand: Demand): List<Demand> {
        if (!demand.shape.spread || demand.shape.zone != null || zones.size < 2) return listOf(demand)
        return zones.mapIndexed { i, zone ->
            fun part(count: Int) = count / zones.size + if (i < count % zones.size) 1 else 0
            demand.copy(shape = demand.shape.copy(zone = zone), count = part(demand.count), late = part(demand.late))
        }
    }

    /** Rentals put together, as many machines to a call as the page allows. */
    private class Plan(private val maxCalls: Int) {
        private val counts = LinkedHashMap<Offer, Int>()

        fun room(offer: Offer): Int {
            val others = counts.entries.sumOf { (other, count) -> if (other == offer) 0 else callsFor(count) }
            return (maxCalls - others) * MAX_PER_CALL - (counts[offer] ?: 0)
        }

        fun add(offer: Offer, count: Int) {
            counts.merge(offer, count, Int::plus)
        }

        fun calls(): List<Pair<Offer, Int>> = counts.flatMap { (offer, count) ->
            List(callsFor(count)) { call -> offer to min(MAX_PER_CALL, count - call * MAX_PER_CALL) }
        }

        private fun callsFor(count: Int) = (count + MAX_PER_CALL - 1) / MAX_PER_CALL
    }

    /**
     * Machines that have been idle for longer than it pays to keep them. Only time in which they were listened to counts: behind
     * an outage that ended all leases most of a fleet was once returned, moments before its tasks were to start again.
     */
    fun idle(nowMs: Long, listeningSinceMs: Long): List<Machine> = machines.values.filter { machine ->
        val type = machine.type
        type != null &&
            machine.state == MachineState.UP &&
            jobTable.attemptsOn(machine.id).isEmpty() &&
            nowMs - machine.rentedAtMs >= MIN_CHARGE_MS &&
            nowMs - max(machine.idleSinceMs, listeningSinceMs) >= type.bootS * 1000 * IDLE_BOOTS
    }

    /** Machines that should have come up long ago; one that runs and that a new leader hasn't heard yet is none of them. */
    fun overdueBoots(nowMs: Long, listeningSinceMs: Long): List<Machine> = machines.values.filter { machine ->
        machine.state == MachineState.STARTING &&
            !machine.listedRunning &&
            nowMs - max(machine.rentedAtMs, listeningSinceMs) >= (machine.type?.bootS ?: deployment.leaseS) * 1000 * LATE_BOOTS
    }

    fun allows(shape: PlacementClass, offer: Offer) = (shape.types == null || offer.type in shape.types) &&
        (shape.zone == null || offer.zone == shape.zone) &&
        (shape.spotAllowed || !offer.spot)

    /**
     * The cheapest offer for each processor that the demand uses, its boot time spread over the time for
     * which it is likely kept.
     */
    private fun best(demand: Demand, count: Int, nowMs: Long, plan: Plan, spotOnly: Boolean): Offer? {
        val shape = demand.shape
        return types.values.asSequence().filter { it.holds(shape) }
            .flatMap { type ->
                type.zones.asSequence().flatMap { zone -> sequenceOf(Offer(type.name, zone, true), Offer(type.name, zone, false)) }
            }
            .filter { allows(shape, it) && (it.spot || !spotOnly) && it.zone !in partitionedZones }
            .filter { nowMs >= (refusedUntilMs[it] ?: 0) && plan.room(it) > 0 }
            .minByOrNull { offer ->
                val type = types.getValue(offer.type)
                val used = min(count, slots(shape, type.cpus, type.gpus, type.memoryGb))
                type.priceOf(offer.spot) / used * (1 + type.bootS / (deployment.leaseS * KEPT_LEASES))
            }
    }

    private class Space(val offer: Offer, private val type: MachineType) {
        private var cpus = type.cpus
        private var gpus = type.gpus
        private var memoryGb = type.memoryGb

        /** Takes up to [most] tasks, which may run here one after the other. */
        fun take(demand: Demand, most: Int): Int {
            val turns = demand.turns(type)
            val shape = demand.shape
            val used = min(ceil(most / turns).toInt(), slots(shape, cpus, gpus, memoryGb))
            cpus -= used * shape.cpus
            gpus -= used * shape.gpus
            memoryGb -= used * shape.memoryGb
            return min(most, (used * turns).toInt())
        }
    }

    companion object {
        /** The page's limit for one rental. */
        private const val MAX_PER_CALL = 50

        /** A machine that is deleted costs a minute at least. */
        private const val MIN_CHARGE_MS = 60_000L

        /** Idle machines are kept for as many boot times: part of what a new one would make its tasks wait. */
        private const val IDLE_BOOTS = 0.5

        /** Boots take up to 1.5 times their nominal time, except those of a few: given up on after so many. */
        private const val LATE_BOOTS = 2.5

        /** A machine is kept for about so many leases; its boot is paid for out of that. */
        private const val KEPT_LEASES = 6.0

        /** After a refusal the same offer is asked for again after as many report periods. */
        private const val REFUSAL_REPORTS = 3.0
        private const val ROUNDING = 1e-6

        /** How many tasks of [shape] fit into as much. */
        fun slots(shape: PlacementClass, cpus: Double, gpus: Double, memoryGb: Double): Int {
            var n = Double.MAX_VALUE
            if (shape.cpus > 0) n = min(n, (cpus + ROUNDING) / shape.cpus)
            if (shape.gpus > 0) n = min(n, (gpus + ROUNDING) / shape.gpus)
            if (shape.memoryGb > 0) n = min(n, (memoryGb + ROUNDING) / shape.memoryGb)
            return floor(min(n, 1e6)).toInt().coerceAtLeast(0)
        }
    }
}
