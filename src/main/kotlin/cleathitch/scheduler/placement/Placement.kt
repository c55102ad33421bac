package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.ResourceUsage
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.RESOURCE_TOLERANCE
import java.util.PriorityQueue

/** Where tasks go and whose tasks make room for them. What it sees is fixed at the start of a round. */
class Placement(private val fleet: Inventory, private val jobTable: JobTable) {
    /** The tasks to stop, and for how many others that and what is being stopped already makes room. */
    class RoomMade(val victims: List<Attempt>, val tasks: Int)

    /** What is free of a machine in this round. */
    private class Room(val machine: Machine, type: MachineType, load: ResourceUsage?, attempts: Collection<Attempt>) {
        var cpus = type.cpus - (load?.cpus ?: 0.0)
        var gpus = type.gpus - (load?.gpus ?: 0.0)
        var memoryGb = type.memoryGb - (load?.memoryGb ?: 0.0)
        val wholeCpus = type.cpus

        /** A machine that a service keeps is paid for anyway: what is free of it costs nothing. */
        val kept = attempts.any { it.job.spec.kind == JobKind.SERVICE }

        /** Images on their way here, which share the machine's rate. */
        val coming: Set<String> = if (attempts.isEmpty()) {
            emptySet()
        } else {
            attempts.mapNotNullTo(HashSet()) { a -> a.job.spec.image.takeIf { a.runningSinceMs == null && !machine.hasImage(it) } }
        }

        fun fits(shape: PlacementClass) = shape.fittingTasks(cpus, gpus, memoryGb) > 0

        fun take(shape: PlacementClass) {
            cpus -= shape.cpus
            gpus -= shape.gpus
            memoryGb -= shape.memoryGb
        }
    }

    /** A zone's machines with room for a class, cheapest first; what was passed over has no more room. */
    private class Ranked(val rooms: List<Room>, val costs: DoubleArray) {
        var next = 0

        fun skipFull(shape: PlacementClass) {
            while (next < rooms.size && !rooms[next].fits(shape)) next++
        }
    }

    /**
     * One round's look at the machines. Like tasks are decided as a class: the machines are ranked once
     * for a class, not for each task, and a class that fits nowhere costs that one look. So the ranking
     * can afford to see all machines, where the design samples three for each task.
     */
    inner class Look(private val usable: List<Machine>, private val nowMs: Long) {
        private val rooms = usable.mapNotNull { machine ->
            machine.type?.let { Room(machine, it, jobTable.loadOf(machine.id), jobTable.attemptsOn(machine.id)) }
        }.filter { it.cpus > RESOURCE_TOLERANCE }
        private val ranked = HashMap<PlacementClass, Map<String, Ranked>>()
        private val sacrifices = HashMap<PlacementClass, Sacrifices>()

        /** How many tasks were weighed against machines; the growth of a round's cost is tested by it. */
        var candidatesEvaluated = 0L
            private set

        fun choose(job: Job): Machine? {
            val shape = job.spec.placementClass
            val zones = zonesFor(job)
            var best: Ranked? = null
            for ((zone, list) in ranked.getOrPut(shape) { rank(shape) }) {
                if (zones != null && zone !in zones) continue
                list.skipFull(shape)
                if (list.next == list.rooms.size) continue
                if (best == null || list.costs[list.next] < best.costs[best.next]) best = list
            }
            val room = best?.let { it.rooms[it.next] } ?: return null
            room.take(shape)
            return room.machine
        }

        private fun rank(shape: PlacementClass): Map<String, Ranked> {
            candidatesEvaluated += rooms.size
            val fitting = rooms.filter { shape.permits(it.machine.offer) && it.fits(shape) }
            return fitting.groupBy { it.machine.offer.zone }.mapValues { (_, list) ->
                val costs = list.map { it to cost(shape, it) }.sortedBy { it.second }
                Ranked(costs.map { it.first }, DoubleArray(costs.size) { costs[it].second })
            }
        }

        /** A machine for each waiting task of a gang, or null unless all find one at once. */
        fun chooseAll(job: Job): List<Machine>? {
            val shape = job.spec.placementClass
            val zones = zonesFor(job)
            val allowed = rooms.filter { (zones == null || it.machine.offer.zone in zones) && shape.permits(it.machine.offer) }
                .sortedBy { cost(shape, it) }
            val choices = if (job.spec.oneZone) allowed.groupBy { it.machine.offer.zone }.values else listOf(allowed)
            val chosen = choices.firstNotNullOfOrNull { candidates ->
                val chosen = ArrayList<Room>()
                val inZone = HashMap<String, Int>()
                for (room in candidates) {
                    repeat(shape.fittingTasks(room.cpus, room.gpus, room.memoryGb)) {
                        val zone = room.machine.offer.zone
                        if (chosen.size < job.waiting && (inZone[zone] ?: 0) < job.spec.maxPerZone) {
                            inZone.merge(zone, 1, Int::plus)
                            chosen += room
                        }
                    }
                }
                chosen.takeIf { it.size == job.waiting }
            } ?: return null
            chosen.forEach { it.take(shape) }
            return chosen.map { it.machine }
        }

        /**
         * The tasks to stop so that up to [count] of [job] find room: where least is lost, and never one
         * that the page protects. Room that stopped tasks are about to leave is reckoned with first.
         */
        fun makeRoom(job: Job, count: Int): RoomMade {
            val found = sacrifices.getOrPut(job.spec.placementClass) { Sacrifices(job.spec) }
            val zones = zonesFor(job)
            val chosen = ArrayList<Attempt>()
            var left = count
            while (left > 0) left -= found.take(zones, left, chosen) ?: break
            return RoomMade(chosen, count - left)
        }

        /** What could be stopped for a class, machine by machine, the least loss first. */
        private inner class Sacrifices(private val spec: JobSpec) {
            private inner class Choice(
                val machine: Machine,
                val gone: List<Attempt>,
                val more: List<Attempt>,
                val slots: Int,
                val loss: Double,
            )

            private val shape = spec.placementClass
            private val choices = PriorityQueue<Choice>(compareBy { it.loss })

            init {
                candidatesEvaluated += usable.size
                for (machine in usable) {
                    if (!shape.permits(machine.offer)) continue
                    next(machine, jobTable.attemptsOn(machine.id).filter { it.stop != null })
                }
            }

            /** Adds what the machine could give next, after what is [gone] from it already. */
            private fun next(machine: Machine, gone: List<Attempt>) {
                val before = roomFor(shape, machine, gone)
                val left = jobTable.attemptsOn(machine.id).filter { it.stop == null && it !in gone && it.job.spec.priority > spec.priority }
                if (before > 0) {
                    choices += Choice(machine, gone, emptyList(), before, 0.0)
                    return
                }
                val more = ArrayList<Attempt>()
                for (attempt in left.sortedBy { loss(it, nowMs) }) {
                    more += attempt
                    val slots = roomFor(shape, machine, gone + more)
                    if (slots == 0) continue
                    val fetch = if (machine.hasImage(shape.image)) 0.0 else spec.imageGb / (machine.type?.fetchGbPerS ?: 1.0)
                    choices += Choice(machine, gone + more, more, slots, (fetch * shape.cpus + more.sumOf { loss(it, nowMs) }) / slots)
                    return
                }
            }

            /** Takes the best choice in [zones]; tells how many tasks it makes room for, null when there is none. */
            fun take(zones: Set<String>?, most: Int, into: MutableList<Attempt>): Int? {
                val aside = ArrayList<Choice>()
                var choice = choices.poll()
                while (choice != null && zones != null && choice.machine.offer.zone !in zones) {
                    aside += choice
                    choice = choices.poll()
                }
                choices += aside
                if (choice == null) return null
                into += choice.more
                val used = minOf(most, choice.slots)
                if (used < choice.slots) {
                    choices += Choice(choice.machine, choice.gone, emptyList(), choice.slots - used, 0.0)
                }
                return used
            }
        }
    }

    /**
     * The zones in which a task of the job may start, null for any. Tasks that may still be running
     * count where they may be.
     */
    fun zonesFor(job: Job): Set<String>? {
        val spec = job.spec
        if (!spec.oneZone && !spec.spread) return null
        val byZone = HashMap<String, Int>()
        for (attempt in job.live.values) {
            val zone = fleet.machines[attempt.machine]?.offer?.zone ?: return emptySet()
            byZone.merge(zone, 1, Int::plus)
        }
        if (spec.oneZone && byZone.isNotEmpty()) return byZone.keys
        if (!spec.spread) return fleet.zones
        return fleet.zones.filterTo(HashSet()) { (byZone[it] ?: 0) < spec.maxPerZone }
    }

    /** How many tasks of [shape] fit into what is free of [machine] once the attempts [without] have left it. */
    private fun roomFor(shape: PlacementClass, machine: Machine, without: List<Attempt>): Int {
        val type = machine.type ?: return 0
        val load = jobTable.loadOf(machine.id)
        return shape.fittingTasks(
            type.cpus - (load?.cpus ?: 0.0) + without.sumOf { it.job.spec.cpus },
            type.gpus - (load?.gpus ?: 0.0) + without.sumOf { it.job.spec.gpus },
            type.memoryGb - (load?.memoryGb ?: 0.0) + without.sumOf { it.job.spec.memoryGb },
        )
    }

    /**
     * Smaller is better: the image there or on its way, the kind of machine meant for the work, then the
     * tightest fit. Images that are fetched together share the machine's rate, so each one on its way
     * makes another dearer.
     */
    private fun cost(shape: PlacementClass, room: Room): Double {
        val machine = room.machine
        val fetch = when {
            machine.hasImage(shape.image) -> 0.0
            shape.image in room.coming -> FETCH / 2
            else -> FETCH * (1 + room.coming.size)
        }
        val kind = if (shape.spotAllowed && !machine.offer.spot && !room.kept) OTHER_KIND else 0.0
        val spare = if (shape.kind != JobKind.SERVICE && room.kept) -1.0 else 0.0
        return fetch + kind + spare + (room.cpus - shape.cpus) / room.wholeCpus + machine.faults
    }

    /** The processor time that is lost when the attempt is stopped, about. */
    private fun loss(attempt: Attempt, nowMs: Long): Double {
        val spec = attempt.job.spec
        val ranS = attempt.runningSinceMs?.let { (nowMs - it) / 1000.0 } ?: 0.0
        return spec.cpus * if (spec.checkpointS > 0) minOf(ranS, spec.saveS) else ranS
    }

    private companion object {
        /** Weights in terms of the tightest fit, which is between 0 and 1. */
        const val FETCH = 2.0
        const val OTHER_KIND = 4.0
    }
}
