package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.RESOURCE_TOLERANCE

/**
 * Placement and preemption in one scheduling round. Works on a snapshot of the fleet taken at the start of the round, less the
 * resources that the round itself has reserved and the room that is being made for other jobs. Confined to the leader's event loop.
 *
 * Tasks of one placement class are interchangeable, so machines are ranked once per class instead of once per task, and a class
 * that fits nowhere costs a single ranking. This makes it affordable to rank all machines rather than a sample.
 */
internal class PlacementRound(
    jobTable: JobTable,
    usableMachines: List<Machine>,
    nowMs: Long,
    private val nominations: Nominations = Nominations(),
    private val borrowedCapacity: BorrowedCapacity = BorrowedCapacity(emptyMap(), jobTable),
) {
    private data class PlannerKey(val placementClass: PlacementClass, val reclaims: Boolean)

    private val machines = LinkedHashMap<MachineId, CandidateMachine>()
    private val candidates: List<CandidateMachine>

    init {
        for (machine in usableMachines) {
            val type = machine.type ?: continue
            machines[machine.id] = CandidateMachine(machine, type, jobTable.usageOnMachine(machine.id), jobTable.attemptsOn(machine.id))
        }
        nominations.all.forEach { machines[it.machine.id]?.nominate(it.job.spec.placementClass, it.tasks) }
        candidates = machines.values.filter { it.freeCpus > RESOURCE_TOLERANCE }
    }

    private val victimOrder = VictimOrder(jobTable, nowMs)
    private val rankings = HashMap<PlacementClass, Map<String, RankedMachines>>()
    private val preemptionPlanners = HashMap<PlannerKey, PreemptionPlanner>()
    private var reclaimingPlanners = 0

    /** The number of (placement class, machine) pairs evaluated; tests use it to measure how the cost of a round grows. */
    var candidatesEvaluated = 0L
        private set

    /** Chooses the machine with the lowest placement cost for the job's next task and reserves its resources; null if none fits. */
    fun chooseMachine(job: Job, allowance: ZoneAllowance): Machine? {
        val placementClass = job.spec.placementClass
        var cheapest: RankedMachines? = null
        for ((zone, ranked) in rankings.getOrPut(placementClass) { rankByZone(placementClass) }) {
            if (zone !in allowance) continue
            ranked.skipFull(placementClass)
            if (ranked.first != null && (cheapest == null || ranked.firstCost < cheapest.firstCost)) cheapest = ranked
        }
        val candidate = cheapest?.first ?: return null
        candidate.reserve(placementClass)
        return candidate.machine
    }

    /**
     * Narrows the allowance of a job that isn't bound to a zone yet but needs a single one: to the zones that have room for all of its
     * waiting tasks or, if there is none, to those of [offeredZones], where machines can be rented, that have room for one. A zone with
     * room for a part of the job would otherwise bind it, although the rest might never fit there.
     */
    fun narrowToZones(job: Job, allowance: ZoneAllowance, offeredZones: Set<String>): ZoneAllowance {
        val withRoom = machinesWithRoom(job.spec.placementClass).filterKeys { it in allowance }
        val holdsAll = withRoom.filterValues { it.fitsAll(job.spec.placementClass, job.waitingTasks) }.keys
        val zones = holdsAll.ifEmpty { withRoom.keys.intersect(offeredZones) }
        return if (zones.isEmpty()) allowance else allowance.only(zones)
    }

    /** The zones in which a machine has room for a task of the class, with the machines in the order in which they are filled. */
    private fun machinesWithRoom(placementClass: PlacementClass): Map<String, RankedMachines> =
        rankings.getOrPut(placementClass) { rankByZone(placementClass) }.filterValues {
            it.skipFull(placementClass)
            it.first != null
        }

    private fun rankByZone(placementClass: PlacementClass): Map<String, RankedMachines> {
        candidatesEvaluated += candidates.size
        return candidates.filter { placementClass.permits(it.machine.offer) && it.fits(placementClass) }
            .groupBy { it.zone }
            .mapValues { (_, inZone) -> RankedMachines.of(inZone, placementClass) }
    }

    /** Chooses a machine for each waiting task of a gang and reserves its resources; null if not all tasks can be placed. */
    fun chooseGangMachines(job: Job, allowance: ZoneAllowance): List<Machine>? =
        GangPlacement(job, allowance).reserve(candidates)?.map { it.machine }

    /** Whether a machine in any zone has room for a task of the class. */
    fun hasRoom(placementClass: PlacementClass): Boolean = machinesWithRoom(placementClass).isNotEmpty()

    /** Uses the room that was made for one task; returns false if it isn't free yet. */
    fun useNomination(nomination: Nomination): Boolean =
        machines[nomination.machine.id]?.useNomination(nomination.job.spec.placementClass) ?: false

    /** Uses the room that was made for all tasks of a gang; returns false, and uses none, if not all of it is free yet. */
    fun useAll(gangNominations: List<Nomination>): Boolean {
        val used = ArrayList<Nomination>()
        for (nomination in gangNominations.flatMap { nomination -> List(nomination.tasks) { nomination } }) {
            if (!useNomination(nomination)) {
                used.forEach { machines.getValue(it.machine.id).restoreNomination(it.job.spec.placementClass) }
                return false
            }
            used += nomination
        }
        return true
    }

    /**
     * Selects the tasks to preempt so that up to [maxTasks] tasks of [job] fit, with the least work lost, and reserves that room. With
     * [reclaims], tasks of any priority that other teams run beyond their guarantees are preempted too.
     */
    fun planPreemption(job: Job, allowance: ZoneAllowance, maxTasks: Int, reclaims: Boolean = false): PreemptionPlan {
        val key = PlannerKey(job.spec.placementClass, reclaims)
        if (reclaims && !mayReclaim(key)) return PreemptionPlan(emptyList(), allowance)
        val planner = preemptionPlanners.getOrPut(key) {
            candidatesEvaluated += machines.size
            if (reclaims) reclaimingPlanners++
            val permitted = machines.values.filterNot { nominations.isExcluded(it.machine) }
            PreemptionPlanner(job.spec, permitted, victimOrder, borrowedCapacity, reclaims)
        }
        return planner.plan(allowance, maxTasks)
    }

    /** Each class costs an evaluation of all machines, so the others wait for a later round; the classes come in scheduling order. */
    private fun mayReclaim(key: PlannerKey): Boolean = borrowedCapacity.isAnyBorrowedBesides(key.placementClass.team) &&
        (key in preemptionPlanners || reclaimingPlanners < MAX_RECLAIMING_CLASSES)

    /** Gives up a plan to reclaim a guarantee that isn't carried out. */
    fun discard(plan: PreemptionPlan, job: Job) {
        for (assignment in plan.assignments) {
            machines.getValue(assignment.machine.id).withdrawNomination(job.spec.placementClass, assignment.tasks)
            borrowedCapacity.withdrawStops(assignment.victims)
        }
        // The planner has used up the options on these machines.
        preemptionPlanners.remove(PlannerKey(job.spec.placementClass, reclaims = true))
    }

    private companion object {
        /** The number of placement classes for which guarantees are reclaimed in one round. */
        const val MAX_RECLAIMING_CLASSES = 8
    }
}
