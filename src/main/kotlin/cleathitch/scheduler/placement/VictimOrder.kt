package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.model.MS_PER_S
import cleathitch.scheduler.model.MachineId

/**
 * The order in which the tasks of a machine are preempted: the least work lost first, and among tasks that lose equally much the one
 * that was started last. It is the same for all preempting jobs, so it is computed once per machine and round.
 */
internal class VictimOrder(private val jobTable: JobTable, private val nowMs: Long) {
    private val byMachine = HashMap<MachineId, List<Attempt>>()

    /** The attempts on the machine in order; an attempt that the round itself starts may be missing. */
    fun of(machine: MachineId): List<Attempt> = byMachine.getOrPut(machine) {
        jobTable.attemptsOn(machine).map { RankedAttempt(it, lostCpuS(it), ranS(it)) }
            .sortedWith(compareBy({ it.lostCpuS }, { it.ranS }))
            .map { it.attempt }
    }

    /**
     * The approximate CPU time lost when the attempt is stopped: all the time that it has run or, if the task writes checkpoints, at
     * most the time to write one.
     */
    fun lostCpuS(attempt: Attempt): Double {
        val spec = attempt.job.spec
        val ranS = ranS(attempt)
        return spec.cpus * if (spec.checkpointIntervalS > 0) minOf(ranS, spec.checkpointWriteS) else ranS
    }

    private fun ranS(attempt: Attempt): Double = attempt.runningSinceMs?.let { (nowMs - it) / MS_PER_S } ?: 0.0

    private class RankedAttempt(val attempt: Attempt, val lostCpuS: Double, val ranS: Double)
}
