package cleathitch.scheduler.capacity

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.machines.RentableOffers
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.MS_PER_S
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.placement.ZoneAllowance

/**
 * Decides in one scheduling round when a team's guarantee is reclaimed from teams that borrow it, that is, when their tasks may be
 * stopped for a job within the guarantee. Tasks are stopped only if room isn't expected as soon without it: on a booting or new
 * machine, or because running tasks complete.
 */
internal class ReclaimPolicy(
    objectives: List<Objective>,
    private val inventory: Inventory,
    private val jobTable: JobTable,
    private val now: ClockReading,
) {
    private val rentableOffers = RentableOffers(inventory)

    /** Within how many seconds a job within its team's guarantee is to start; null if the settings don't say. */
    private val startDeadlineS = objectives.filterIsInstance<Objective.Guarantee>().minOfOrNull { it.deadlineS }
    private val freedCpusPerS by lazy(LazyThreadSafetyMode.NONE) { FreedCpus.perS(jobTable) }

    /** A machine that takes longer than usual to boot may never start, so it isn't waited for. */
    private val bootingMachines by lazy(LazyThreadSafetyMode.NONE) {
        inventory.machines.values.filter { it.state == MachineState.STARTING && remainingBootS(it) > 0 }
    }

    /** Whether borrowed capacity may be reclaimed for [tasks] tasks of the job. */
    fun isDue(job: Job, allowance: ZoneAllowance, tasks: Int): Boolean {
        val ageS = (now.wallMs - job.acceptedAtWallMs) / MS_PER_S
        if (startDeadlineS == null) return ageS >= (expectedBootS(job, allowance).maxOrNull() ?: 0.0)
        if (ageS >= startDeadlineS * MAX_WAIT_SHARE) return true
        val remainingS = startDeadlineS - ageS
        return freedCpusPerS * remainingS < tasks * job.spec.cpus && expectedBootS(job, allowance).none { it <= remainingS }
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
        /** The share of the deadline after which room that was expected without stops isn't waited for any longer. */
        const val MAX_WAIT_SHARE = 0.5
    }
}
