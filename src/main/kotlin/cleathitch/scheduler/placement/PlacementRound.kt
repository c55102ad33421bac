package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.RESOURCE_TOLERANCE

/**
 * Decides in one scheduling round where tasks go and whose tasks make room for them. What it sees of the fleet is fixed at its
 * start, less the room that it has given away itself. Confined to the leader's event loop.
 *
 * Tasks of one class are interchangeable, so the machines are ranked once for each class, not for each task, and a class that
 * fits nowhere costs one ranking. That is why the ranking can afford to see all machines, not a sample of them.
 */
class PlacementRound(
    private val inventory: Inventory,
    private val jobTable: JobTable,
    private val usableMachines: List<Machine>,
    private val nowMs: Long,
) {
    private val candidates = usableMachines.mapNotNull { machine ->
        machine.type?.let { CandidateMachine(machine, it, jobTable.usageOnMachine(machine.id), jobTable.attemptsOn(machine.id)) }
    }.filter { it.freeCpus > RESOURCE_TOLERANCE }
    private val rankings = HashMap<PlacementClass, Map<String, RankedMachines>>()
    private val preemptionPlanners = HashMap<PlacementClass, PreemptionPlanner>()

    /** How many pairs of a class and a machine were weighed. Tests measure by it how a round's cost grows. */
    var candidatesEvaluated = 0L
        private set

    /** The cheapest machine for the job's next task, with its room reserved; null if the task fits nowhere. */
    fun chooseMachine(job: Job): Machine? {
        val placementClass = job.spec.placementClass
        val allowedZones = AllowedZones.of(job, inventory)
        var cheapest: RankedMachines? = null
        for ((zone, ranked) in rankings.getOrPut(placementClass) { rankByZone(placementClass) }) {
            if (zone !in allowedZones) continue
            ranked.skipFull(placementClass)
            if (ranked.first != null && (cheapest == null || ranked.firstCost < cheapest.firstCost)) cheapest = ranked
        }
        val candidate = cheapest?.first ?: return null
        candidate.reserve(placementClass)
        return candidate.machine
    }

    private fun rankByZone(placementClass: PlacementClass): Map<String, RankedMachines> {
        candidatesEvaluated += candidates.size
        return candidates.filter { placementClass.permits(it.machine.offer) && it.fits(placementClass) }
            .groupBy { it.zone }
            .mapValues { (_, inZone) -> RankedMachines.of(inZone, placementClass) }
    }

    /** A machine for each waiting task of a gang, with its room reserved; null unless all find one at once. */
    fun chooseGangMachines(job: Job): List<Machine>? =
        GangPlacement(job, AllowedZones.of(job, inventory)).reserve(candidates)?.map { it.machine }

    /** The tasks to stop so that up to [maxTasks] tasks of [job] find room, where least is lost. */
    fun planPreemption(job: Job, maxTasks: Int): PreemptionPlan {
        val planner = preemptionPlanners.getOrPut(job.spec.placementClass) {
            candidatesEvaluated += usableMachines.size
            PreemptionPlanner(job.spec, usableMachines, jobTable, nowMs)
        }
        return planner.plan(AllowedZones.of(job, inventory), maxTasks)
    }
}
