package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.MS_PER_S
import java.util.PriorityQueue

/**
 * Selects victims for one placement class in one round, machine by machine, in ascending order of the work lost. The resources of
 * tasks that are already stopping cost nothing and are used first. Only tasks of lower priority are preempted.
 */
internal class PreemptionPlanner(
    private val spec: JobSpec,
    machines: List<Machine>,
    private val jobTable: JobTable,
    private val nowMs: Long,
) {
    /** A machine on which [tasks] more tasks fit once [removed] have ended. Of these, [victims] still have to be stopped. */
    private class Option(
        val machine: Machine,
        val removed: List<Attempt>,
        val victims: List<Attempt>,
        val tasks: Int,
        val lossPerTask: Double,
    )

    private val placementClass = spec.placementClass
    private val options = PriorityQueue<Option>(compareBy { it.lossPerTask })

    init {
        for (machine in machines) {
            if (placementClass.permits(machine.offer)) addOption(machine)
        }
    }

    /** Selects victims in the allowed zones so that up to [maxTasks] tasks of the class fit there. */
    fun plan(allowance: ZoneAllowance, maxTasks: Int): PreemptionPlan {
        val victims = ArrayList<Attempt>()
        var remaining = maxTasks
        while (remaining > 0) {
            val option = pollBest(allowance) ?: break
            victims += option.victims
            remaining -= assign(option, remaining)
        }
        return PreemptionPlan(victims, maxTasks - remaining)
    }

    private fun addOption(machine: Machine) {
        val attempts = jobTable.attemptsOn(machine.id)
        val stopping = attempts.filter { it.stopCause != null }
        val tasksAfterStops = fittingTasksWithout(stopping, machine)
        if (tasksAfterStops > 0) {
            options += Option(machine, stopping, emptyList(), tasksAfterStops, 0.0)
            return
        }
        val preemptible = attempts.filter { it.stopCause == null && it.job.spec.priority > spec.priority }
        addCheapestPreemption(machine, stopping, preemptible)
    }

    /** Adds an option that preempts tasks in ascending order of lost work until at least one task of the class fits. */
    private fun addCheapestPreemption(machine: Machine, stopping: List<Attempt>, preemptible: List<Attempt>) {
        val victims = ArrayList<Attempt>()
        for (attempt in preemptible.sortedBy(::lostCpuS)) {
            victims += attempt
            val tasks = fittingTasksWithout(stopping + victims, machine)
            if (tasks == 0) continue
            val fetchCpuS = fetchS(machine) * placementClass.cpus
            val lossPerTask = (fetchCpuS + victims.sumOf(::lostCpuS)) / tasks
            options += Option(machine, stopping + victims, victims, tasks, lossPerTask)
            return
        }
    }

    /** Removes and returns the option with the lowest loss per task among those in the allowed zones. */
    private fun pollBest(allowance: ZoneAllowance): Option? {
        val skipped = ArrayList<Option>()
        var option = options.poll()
        while (option != null && option.machine.offer.zone !in allowance) {
            skipped += option
            option = options.poll()
        }
        options += skipped
        return option
    }

    /**
     * Assigns up to [maxTasks] tasks to the option and returns how many were assigned. The remaining capacity goes back to the
     * queue as an option without loss, because its victims are already in the plan.
     */
    private fun assign(option: Option, maxTasks: Int): Int {
        val used = minOf(maxTasks, option.tasks)
        if (used < option.tasks) {
            options += Option(option.machine, option.removed, emptyList(), option.tasks - used, 0.0)
        }
        return used
    }

    /** The number of tasks of the class that fit on the machine once [removed] have ended. */
    private fun fittingTasksWithout(removed: List<Attempt>, machine: Machine): Int {
        val type = machine.type ?: return 0
        val usage = jobTable.usageOnMachine(machine.id)
        return placementClass.fittingTasks(
            type.cpus - (usage?.cpus ?: 0.0) + removed.sumOf { it.job.spec.cpus },
            type.gpus - (usage?.gpus ?: 0.0) + removed.sumOf { it.job.spec.gpus },
            type.memoryGb - (usage?.memoryGb ?: 0.0) + removed.sumOf { it.job.spec.memoryGb },
        )
    }

    private fun fetchS(machine: Machine): Double =
        if (machine.hasImage(placementClass.image)) 0.0 else spec.imageGb / (machine.type?.fetchGbPerS ?: 1.0)

    /**
     * The approximate CPU time lost when the attempt is stopped: all the time that it has run or, if the task writes checkpoints, at
     * most the time to write one.
     */
    private fun lostCpuS(attempt: Attempt): Double {
        val spec = attempt.job.spec
        val ranS = attempt.runningSinceMs?.let { (nowMs - it) / MS_PER_S } ?: 0.0
        return spec.cpus * if (spec.checkpointIntervalS > 0) minOf(ranS, spec.checkpointWriteS) else ranS
    }
}
