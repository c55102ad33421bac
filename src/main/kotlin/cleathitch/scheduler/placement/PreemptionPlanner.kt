package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.MS_PER_S
import java.util.PriorityQueue

/**
 * What could be stopped for one class of tasks in one round, machine by machine, the least loss first. Room that stopped
 * tasks are about to leave costs nothing and is used first. Only tasks of lower priority are ever stopped.
 */
internal class PreemptionPlanner(
    private val spec: JobSpec,
    machines: List<Machine>,
    private val jobTable: JobTable,
    private val nowMs: Long,
) {
    /** A machine on which [tasks] more tasks fit once [removed] are gone, of which [victims] still have to be stopped. */
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

    /** The victims that make room for up to [maxTasks] tasks in the allowed zones. */
    fun plan(allowedZones: AllowedZones, maxTasks: Int): PreemptionPlan {
        val victims = ArrayList<Attempt>()
        var left = maxTasks
        while (left > 0) {
            val option = pollBest(allowedZones) ?: break
            victims += option.victims
            left -= use(option, left)
        }
        return PreemptionPlan(victims, maxTasks - left)
    }

    private fun addOption(machine: Machine) {
        val attempts = jobTable.attemptsOn(machine.id)
        val stopping = attempts.filter { it.stopCause != null }
        val freeSoon = fittingTasksWithout(stopping, machine)
        if (freeSoon > 0) {
            options += Option(machine, stopping, emptyList(), freeSoon, 0.0)
            return
        }
        val preemptible = attempts.filter { it.stopCause == null && it.job.spec.priority > spec.priority }
        addCheapestPreemption(machine, stopping, preemptible)
    }

    /** Stops tasks in the order of their loss, as many as it takes until one task of the class fits. */
    private fun addCheapestPreemption(machine: Machine, stopping: List<Attempt>, preemptible: List<Attempt>) {
        val victims = ArrayList<Attempt>()
        for (attempt in preemptible.sortedBy(::lossCpuS)) {
            victims += attempt
            val tasks = fittingTasksWithout(stopping + victims, machine)
            if (tasks == 0) continue
            val fetchLossCpuS = fetchS(machine) * placementClass.cpus
            val lossPerTask = (fetchLossCpuS + victims.sumOf(::lossCpuS)) / tasks
            options += Option(machine, stopping + victims, victims, tasks, lossPerTask)
            return
        }
    }

    /** Takes the best option in the allowed zones out of the queue. */
    private fun pollBest(allowedZones: AllowedZones): Option? {
        val elsewhere = ArrayList<Option>()
        var option = options.poll()
        while (option != null && option.machine.offer.zone !in allowedZones) {
            elsewhere += option
            option = options.poll()
        }
        options += elsewhere
        return option
    }

    /** Uses the option for up to [maxTasks] tasks and returns for how many; what it has left costs nothing more. */
    private fun use(option: Option, maxTasks: Int): Int {
        val used = minOf(maxTasks, option.tasks)
        if (used < option.tasks) {
            options += Option(option.machine, option.removed, emptyList(), option.tasks - used, 0.0)
        }
        return used
    }

    /** How many tasks of the class fit into what is free of the machine once [removed] have left it. */
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

    /** About how much processor time is lost when the attempt is stopped: the saving of its progress, or all that it ran without. */
    private fun lossCpuS(attempt: Attempt): Double {
        val spec = attempt.job.spec
        val ranS = attempt.runningSinceMs?.let { (nowMs - it) / MS_PER_S } ?: 0.0
        return spec.cpus * if (spec.checkpointIntervalS > 0) minOf(ranS, spec.checkpointWriteS) else ranS
    }
}
