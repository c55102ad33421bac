package cleathitch.scheduler.capacity

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.ResourceUsage
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.machines.RentableOffers
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.MS_PER_S
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.model.RESOURCE_TOLERANCE
import cleathitch.scheduler.model.Team
import cleathitch.scheduler.placement.ZoneAllowance

/**
 * Decides in one scheduling round when a team's guarantee is reclaimed from teams that borrow it, that is, when their tasks may be
 * stopped for it. The guarantee is promised to a team whose unfinished jobs all fit into it together. Tasks are stopped only if room
 * isn't expected as soon without it: on a booting or new machine, or because running tasks complete.
 */
internal class ReclaimPolicy(
    objectives: List<Objective>,
    private val teams: Map<String, Team>,
    private val inventory: Inventory,
    private val jobTable: JobTable,
    private val now: ClockReading,
) {
    private val rentableOffers = RentableOffers(inventory)

    /** Within how many seconds a job within its team's guarantee is to start; null if the settings don't say. */
    private val startDeadlineS = objectives.filterIsInstance<Objective.Guarantee>().minOfOrNull { it.deadlineS }
    private val freedCpusPerS by lazy(LazyThreadSafetyMode.NONE) { FreedCpus.perS(jobTable) }
    private val teamsWithinGuarantee by lazy(LazyThreadSafetyMode.NONE, ::findTeamsWithinGuarantee)

    /** The CPUs of the tasks that are left to wait until running tasks complete. */
    private var awaitedCpus = 0.0

    /** A machine that takes longer than usual to boot may never start, so it isn't waited for. */
    private val bootingMachines by lazy(LazyThreadSafetyMode.NONE) {
        inventory.machines.values.filter { it.state == MachineState.STARTING && remainingBootS(it) > 0 }
    }

    /** Whether borrowed capacity may be reclaimed for [tasks] tasks of the job. */
    fun isDue(job: Job, allowance: ZoneAllowance, tasks: Int): Boolean {
        if (job.spec.team !in teamsWithinGuarantee) return false
        val ageS = (now.wallMs - job.acceptedAtWallMs) / MS_PER_S
        if (startDeadlineS == null) return ageS >= (expectedBootS(job, allowance).maxOrNull() ?: 0.0)
        if (ageS >= startDeadlineS * MAX_WAIT_FACTOR) return true
        awaitedCpus += tasks * job.spec.cpus
        return freedCpusPerS * startDeadlineS < awaitedCpus && expectedBootS(job, allowance).none { it <= startDeadlineS - ageS }
    }

    private fun findTeamsWithinGuarantee(): Set<String> {
        val waitingByTeam = HashMap<String, ResourceUsage>()
        for (job in jobTable.jobs) {
            if (job.waitingTasks >
                0
            ) {
                waitingByTeam.getOrPut(job.spec.team) { ResourceUsage() }.add(job.spec.placementClass, job.waitingTasks)
            }
        }
        return waitingByTeam.filter { (name, waiting) ->
            val team = teams[name]
            val usage = jobTable.usageOfTeam(name)
            team != null &&
                waiting.cpus + (usage?.cpus ?: 0.0) <= team.cpus + RESOURCE_TOLERANCE &&
                waiting.gpus + (usage?.gpus ?: 0.0) <= team.gpus + RESOURCE_TOLERANCE
        }.keys
    }

    /** The times after which machines that fit the job may be up: those that can be rented, and those that are booting. */
    private fun expectedBootS(job: Job, allowance: ZoneAllowance): Sequence<Double> {
        val placementClass = job.spec.placementClass
        val offered = rentableOffers.offersFor(placementClass, now.monotonicMs).filter { it.zone in allowance }
            .map { inventory.types.getValue(it.type).bootS }
        val booting = bootingMachines.asSequence()
            .filter { it.offer.zone in allowance && placementClass.permits(it.offer) && it.type?.fits(placementClass) == true }
            .map(::remainingBootS)
        return offered + booting
    }

    private fun remainingBootS(machine: Machine): Double = (machine.type?.bootS ?: 0.0) - (now.monotonicMs - machine.rentedAtMs) / MS_PER_S

    private companion object {
        /** Room that running tasks were expected to free isn't waited for beyond this multiple of the deadline; estimates may be wrong. */
        const val MAX_WAIT_FACTOR = 2.0
    }
}
