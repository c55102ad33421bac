package cleathitch.core

import kotlin.random.Random

/** Where the next task of a job goes. */
class Placement(
    private val fleet: Fleet,
    private val ledger: Ledger,
    private val sample: Int,
    private val random: Random,
) {
    /**
     * Best fit among a few machines that have room; all machines are looked at when none of them fits.
     * A fleet no larger than the sample is looked at whole and in order, so that work gathers on its
     * first machines and the last ones fall idle and can go back.
     */
    fun choose(job: Job, usable: List<Machine>): Machine? {
        val shape = job.spec.placementClass
        val zones = zonesFor(job)
        fun fits(machine: Machine) =
            (zones == null || machine.offer.zone in zones) && fleet.allows(shape, machine.offer) && fleet.roomFor(shape, machine) > 0

        if (usable.size <= sample) return usable.filter(::fits).minByOrNull { cost(shape, it) }
        var best: Machine? = null
        var bestCost = Double.MAX_VALUE
        repeat(minOf(sample, usable.size)) {
            val machine = usable[random.nextInt(usable.size)]
            if (fits(machine)) {
                val cost = cost(shape, machine)
                if (cost < bestCost) {
                    best = machine
                    bestCost = cost
                }
            }
        }
        // A sampled fit without the image would make the task wait for a fetch that another spares it.
        if (best?.hasImage(shape.image) == true) return best
        return usable.filter(::fits).minByOrNull { cost(shape, it) }
    }

    /** A machine for each waiting task of a gang, or null unless all find one at once. */
    fun chooseAll(job: Job, usable: List<Machine>): List<Machine>? {
        val shape = job.spec.placementClass
        val zones = zonesFor(job)
        val allowed = usable.filter { (zones == null || it.offer.zone in zones) && fleet.allows(shape, it.offer) }
            .sortedBy { cost(shape, it) }
        val choices = if (job.spec.oneZone) allowed.groupBy { it.offer.zone }.values else listOf(allowed)
        return choices.firstNotNullOfOrNull { machines ->
            val chosen = ArrayList<Machine>()
            val inZone = HashMap<String, Int>()
            for (machine in machines) {
                repeat(fleet.roomFor(shape, machine)) {
                    if (chosen.size < job.waiting && (inZone[machine.offer.zone] ?: 0) < job.spec.maxPerZone) {
                        inZone.merge(machine.offer.zone, 1, Int::plus)
                        chosen += machine
                    }
                }
            }
            chosen.takeIf { it.size == job.waiting }
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
        val all = fleet.types.values.flatMapTo(HashSet()) { it.zones }
        if (spec.oneZone && byZone.isNotEmpty()) return byZone.keys
        if (spec.spread) all.removeAll { (byZone[it] ?: 0) >= spec.maxPerZone }
        return all
    }

    /** Smaller is better: the image there, the kind of machine meant for the work, then the tightest fit. */
    private fun cost(shape: PlacementClass, machine: Machine): Double {
        val type = machine.type ?: return Double.MAX_VALUE
        val load = ledger.loadOf(machine.id)
        val leftover = (type.cpus - (load?.cpus ?: 0.0) - shape.cpus) / type.cpus
        val fetch = if (machine.hasImage(shape.image)) 0.0 else 2.0
        // A machine that a service keeps is paid for anyway: what is free of it costs nothing.
        val kept = ledger.attemptsOn(machine.id).any { it.job.spec.kind == JobKind.SERVICE }
        val kind = if (shape.spotAllowed && !machine.offer.spot && !kept) 4.0 else 0.0
        val spare = if (shape.kind != JobKind.SERVICE && kept) -1.0 else 0.0
        return fetch + kind + spare + leftover + machine.faults
    }

    /**
     * The tasks to stop so that one of [job] finds room: on the machine where least is lost, and never
     * one that the page protects. Null if stopping them all would not help.
     */
    fun victims(job: Job, usable: List<Machine>, mayStop: (Attempt) -> Boolean, nowMs: Long): List<Attempt>? {
        val shape = job.spec.placementClass
        val zones = zonesFor(job)
        var best: List<Attempt>? = null
        var bestLoss = Double.MAX_VALUE
        for (machine in usable) {
            if ((zones != null && machine.offer.zone !in zones) || !fleet.allows(shape, machine.offer)) continue
            val attempts = ledger.attemptsOn(machine.id)
            val leaving = attempts.filter { it.stop != null }
            if (fleet.roomFor(shape, machine, leaving) > 0) continue // room is on its way
            val chosen = ArrayList<Attempt>()
            for (attempt in attempts.filter { it.stop == null && mayStop(it) }.sortedBy { loss(it, nowMs) }) {
                chosen += attempt
                if (fleet.roomFor(shape, machine, leaving + chosen) > 0) break
            }
            if (fleet.roomFor(shape, machine, leaving + chosen) == 0) continue
            val fetch = if (machine.hasImage(shape.image)) 0.0 else job.spec.imageGb / (machine.type?.fetchGbPerS ?: 1.0)
            val loss = fetch * shape.cpus + chosen.sumOf { loss(it, nowMs) }
            if (loss < bestLoss) {
                best = chosen
                bestLoss = loss
            }
        }
        return best
    }

    /** The processor time that is lost when the attempt is stopped, about. */
    private fun loss(attempt: Attempt, nowMs: Long): Double {
        val spec = attempt.job.spec
        val ranS = attempt.runningSinceMs?.let { (nowMs - it) / 1000.0 } ?: 0.0
        return spec.cpus * if (spec.checkpointS > 0) minOf(ranS, spec.saveS) else ranS
    }
}
