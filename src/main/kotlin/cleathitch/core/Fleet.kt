package cleathitch.core

import kotlin.math.floor
import kotlin.math.max
import kotlin.math.min

enum class MachineState { STARTING, UP, RETIRED }

/** A machine that is ours, as far as anyone has shown. */
class Machine(val id: MachineId, val offer: Offer, type: MachineType?, val rentedAtMs: Long) {
    /** Null until the cloud has told the types; a machine may well report before that. */
    var type: MachineType? = type
        internal set

    var addr: String? = null
    var state = MachineState.STARTING
    var session = 0L
    var seq = 0L
    var version = OrderVersion.NONE
    /** When it was last heard of in any way, and when its last report that we could answer came. */
    var lastHeardMs: Long? = null
    var lastReportMs: Long? = null

    /** The version of our last answer to it, and how many answers in a row its reports show it didn't get. */
    var answered = OrderVersion.NONE
    var answersLost = 0
    val deaf get() = answersLost >= DEAF_ANSWERS

    /**
     * It surely lives: rented in this term, or it has shown a version of this term. The first that a new
     * leader hears of a machine may be a late copy of a report, and the machine long gone.
     */
    var confirmed = false

    /** Direct questions since it was last heard of, and when the last was asked. */
    var probes = 0
    var probedMs = 0L

    /** Until then its tasks may run even if it is never heard of again. */
    var leaseEndMs = 0L
    var noticeAtMs: Long? = null
    var reported: List<ReportedTask> = emptyList()
    var idleSinceMs: Long = rentedAtMs
    var faults = 0
    var listed = false

    /** Since when nothing more is to be placed here, as a refusal showed less room than reckoned. */
    var fullUntilMs = 0L

    /** Images seen here, in the order of their last use; the machine drops the oldest by itself. */
    private val images = LinkedHashMap<String, Double>()

    fun hasImage(image: String) = image in images

    fun sawImage(image: String, sizeGb: Double) {
        images.remove(image)
        images[image] = sizeGb
        val cache = type?.cacheGb ?: return
        while (images.size > 1 && images.values.sum() > cache) images.remove(images.keys.first())
    }

    fun forgetImages() = images.clear()
    fun newerThan(report: Report) = report.session < session || (report.session == session && report.seq <= seq)

    private companion object {
        /** One answer is lost now and then, and a report may cross an answer; three in a row are no accident. */
        const val DEAF_ANSWERS = 3
    }
}

/** Which machines there are, and which to rent and return. */
class Fleet(private val deployment: Deployment, private val ledger: Ledger) {
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

    /** Asked for and recorded, and not answered yet. */
    val rentals = LinkedHashMap<String, Event.RentalAsked>()
    val retired = LinkedHashSet<MachineId>()
    private val refusedUntilMs = HashMap<Offer, Long>()

    /** The class of tasks that want machines, and how many of them. */
    data class Demand(val shape: PlacementClass, val count: Int)

    fun apply(event: Event.OfFleet) {
        when (event) {
            is Event.RentalAsked -> rentals[event.request] = event
            is Event.RentalSettled -> rentals.remove(event.request)
            is Event.MachineRetired -> {
                retired += event.machine
                machines[event.machine]?.state = MachineState.RETIRED
            }
            is Event.MachineGone -> {
                retired -= event.machine
                machines.remove(event.machine)
            }
        }
    }

    fun cell(upTo: Seq) = FleetCell(upTo.number, rentals.values.toList(), retired.toList())

    fun restore(cell: FleetCell) {
        cell.rentals.forEach { rentals[it.request] = it }
        retired += cell.retired
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
        val load = ledger.loadOf(machine.id)
        return slots(
            shape,
            type.cpus - (load?.cpus ?: 0.0) + without.sumOf { it.job.spec.cpus },
            type.gpus - (load?.gpus ?: 0.0) + without.sumOf { it.job.spec.gpus },
            type.memoryGb - (load?.memoryGb ?: 0.0) + without.sumOf { it.job.spec.memoryGb },
        )
    }

    /** What to rent for the tasks that fit nowhere, after those machines that are on their way. */
    fun wanted(demands: List<Demand>, nowMs: Long, maxCalls: Int): List<Pair<Offer, Int>> {
        val booting = machines.values.filter { it.state == MachineState.STARTING }
            .mapNotNull { m -> m.type?.let { Space(m.offer, it) } }.toMutableList()
        rentals.values.forEach { asked ->
            types[asked.offer.type]?.let { type -> repeat(asked.count) { booting += Space(asked.offer, type) } }
        }
        val result = LinkedHashMap<Offer, Int>()
        for (demand in demands) {
            var left = demand.count
            for (space in booting) {
                if (left == 0) break
                if (allows(demand.shape, space.offer)) left -= space.take(demand.shape, left)
            }
            while (left > 0 && result.size < maxCalls) {
                val offer = best(demand.shape, left, nowMs, result) ?: break
                val type = types.getValue(offer.type)
                val perMachine = slots(demand.shape, type.cpus, type.gpus, type.memoryGb)
                val count = min(MOST_PER_CALL - (result[offer] ?: 0), max(1, left / perMachine))
                if (count <= 0) break
                result.merge(offer, count, Int::plus)
                repeat(count) {
                    val space = Space(offer, type)
                    left -= space.take(demand.shape, left)
                    booting += space
                }
            }
        }
        return result.toList()
    }

    /** Machines that have been idle for longer than it pays to keep them. */
    fun idle(nowMs: Long): List<Machine> = machines.values.filter { machine ->
        val type = machine.type
        type != null && machine.state == MachineState.UP && ledger.attemptsOn(machine.id).isEmpty() &&
            nowMs - machine.rentedAtMs >= MIN_CHARGE_MS &&
            nowMs - machine.idleSinceMs >= type.bootS * 1000 * IDLE_BOOTS
    }

    /** Machines that should have come up long ago. */
    fun neverUp(nowMs: Long): List<Machine> = machines.values.filter { machine ->
        machine.state == MachineState.STARTING &&
            nowMs - machine.rentedAtMs >= (machine.type?.bootS ?: deployment.leaseS) * 1000 * LATE_BOOTS
    }

    fun allows(shape: PlacementClass, offer: Offer) =
        (shape.types == null || offer.type in shape.types) &&
            (shape.zone == null || offer.zone == shape.zone) &&
            (shape.spotAllowed || !offer.spot)

    private fun best(shape: PlacementClass, count: Int, nowMs: Long, taken: Map<Offer, Int>): Offer? =
        types.values.asSequence().filter { it.holds(shape) }
            .flatMap { type -> type.zones.asSequence().flatMap { zone -> sequenceOf(Offer(type.name, zone, true), Offer(type.name, zone, false)) } }
            .filter { allows(shape, it) && nowMs >= (refusedUntilMs[it] ?: 0) && (taken[it] ?: 0) < MOST_PER_CALL }
            .minByOrNull { offer ->
                val type = types.getValue(offer.type)
                val used = min(count, slots(shape, type.cpus, type.gpus, type.memoryGb))
                type.priceOf(offer.spot) / used * (1 + type.bootS / deployment.leaseS)
            }

    private inner class Space(val offer: Offer, type: MachineType) {
        private var cpus = type.cpus
        private var gpus = type.gpus
        private var memoryGb = type.memoryGb

        fun take(shape: PlacementClass, most: Int): Int {
            val n = min(most, slots(shape, cpus, gpus, memoryGb))
            cpus -= n * shape.cpus
            gpus -= n * shape.gpus
            memoryGb -= n * shape.memoryGb
            return n
        }
    }

    companion object {
        /** The page's limit for one rental. */
        private const val MOST_PER_CALL = 50

        /** A machine that is deleted costs a minute at least. */
        private const val MIN_CHARGE_MS = 60_000L

        /** Idle machines are kept for as many boot times: what a new one would make its tasks wait. */
        private const val IDLE_BOOTS = 1.0

        /** "Some machines take several times as long": given up on after as many nominal boot times. */
        private const val LATE_BOOTS = 4.0

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
