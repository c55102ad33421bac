package cleathitch.scheduler.capacity

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.machines.RentableOffers
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.MS_PER_S
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.placement.ZoneAllowance

/**
 * Decides when a team's guarantee is reclaimed from teams that borrow it, that is, when their tasks may be stopped for a job within
 * the guarantee. Tasks are stopped only if room isn't expected as soon without it: on a booting or new machine, or because running
 * tasks complete.
 */
internal class ReclaimPolicy(objectives: List<Objective>, private val inventory: Inventory, private val jobTable: JobTable) {
    private val rentableOffers = RentableOffers(inventory)

    /** Within how many seconds a job within its team's guarantee is to start; null if the settings don't say. */
    private val startDeadlineS = objectives.filterIsInstance<Objective.Guarantee>().minOfOrNull { it.deadlineS }

    /** Whether borrowed capacity may be reclaimed for [tasks] tasks of the job. */
    fun isDue(job: Job, allowance: ZoneAllowance, tasks: Int, now: ClockReading): Boolean {
        val ageS = (now.wallMs - job.acceptedAtWallMs) / MS_PER_S
        val bootS = (offeredBootS(job, allowance, now) + bootingMachinesS(job, allowance, now)).toList()
        if (startDeadlineS == null) return bootS.isEmpty() || ageS >= bootS.max()
        if (ageS >= startDeadlineS * MAX_WAIT_SHARE) return true
        val remainingS = startDeadlineS - ageS
        val freedCpus = FreedCpus.perS(jobTable) * remainingS
        return bootS.none { it <= remainingS } && freedCpus < tasks * job.spec.cpus
    }

    private fun offeredBootS(job: Job, allowance: ZoneAllowance, now: ClockReading): Sequence<Double> =
        rentableOffers.offersFor(job.spec.placementClass, now.monotonicMs).filter { it.zone in allowance }
            .map { inventory.types.getValue(it.type).bootS }

    /** The remaining boot times of fitting machines. A machine that takes longer than usual may never start, so it isn't waited for. */
    private fun bootingMachinesS(job: Job, allowance: ZoneAllowance, now: ClockReading): Sequence<Double> {
        val placementClass = job.spec.placementClass
        return inventory.machines.values.asSequence()
            .filter { it.state == MachineState.STARTING && it.offer.zone in allowance && placementClass.permits(it.offer) }
            .mapNotNull { machine -> machine.type?.let { it to machine.rentedAtMs } }
            .filter { (type, _) -> type.fits(placementClass) }
            .map { (type, rentedAtMs) -> type.bootS - (now.monotonicMs - rentedAtMs) / MS_PER_S }
            .filter { it > 0 }
    }

    private companion object {
        /** The share of the deadline after which room that was expected without stops isn't waited for any longer. */
        const val MAX_WAIT_SHARE = 0.5
    }
}
