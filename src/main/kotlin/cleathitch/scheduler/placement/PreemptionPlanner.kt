package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.ResourceUsage
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.Priority
import java.util.PriorityQueue

/**
 * Selects victims for one placement class in one round, machine by machine, in ascending order of the work lost. The resources of
 * tasks that are already stopping cost nothing and are used first.
 *
 * A production job may preempt tasks of lower priority, of other teams only as far as these are beyond their guarantees. If [reclaims]
 * is set, tasks of any priority that other teams run beyond their guarantees are preempted as well.
 */
internal class PreemptionPlanner(
    private val spec: JobSpec,
    candidates: List<CandidateMachine>,
    private val victimOrder: VictimOrder,
    private val borrowedCapacity: BorrowedCapacity,
    private val reclaims: Boolean,
) {
    /** A machine on which [tasks] more tasks fit once [stopping] and [victims] have ended; only [victims] still have to be stopped. */
    private class Option(
        val candidate: CandidateMachine,
        val stopping: List<Attempt>,
        val victims: List<Attempt>,
        val tasks: Int,
        val lossPerTask: Double,
    )

    private val placementClass = spec.placementClass
    private val options = PriorityQueue<Option>(compareBy { it.lossPerTask })

    init {
        for (candidate in candidates) {
            if (placementClass.permits(candidate.machine.offer)) optionOn(candidate)?.let { options += it }
        }
    }

    /** Selects victims where [allowance] permits, so that up to [maxTasks] tasks of the class fit, and reserves the room for them. */
    fun plan(allowance: ZoneAllowance, maxTasks: Int): PreemptionPlan {
        val assignments = ArrayList<PreemptionPlan.Assignment>()
        var remainingAllowance = allowance
        var remaining = maxTasks
        while (remaining > 0) {
            val option = pollBest(remainingAllowance) ?: break
            val zone = option.candidate.zone
            val tasks = minOf(remaining, option.tasks, remainingAllowance.remaining(zone))
            option.candidate.nominate(placementClass, tasks)
            borrowedCapacity.recordStops(option.victims)
            assignments += assignment(option, tasks)
            remaining -= tasks
            remainingAllowance = remainingAllowance.after(zone, tasks)
        }
        return PreemptionPlan(assignments, remainingAllowance)
    }

    private fun assignment(option: Option, tasks: Int): PreemptionPlan.Assignment {
        val checkpointWriteS = (option.stopping + option.victims).maxOfOrNull { it.job.spec.checkpointWriteS } ?: 0.0
        return PreemptionPlan.Assignment(option.candidate.machine, tasks, option.victims, checkpointWriteS)
    }

    /** The option on the machine with the least work lost, as of now; null if there is none. */
    private fun optionOn(candidate: CandidateMachine): Option? {
        val attempts = victimOrder.of(candidate.machine.id)
        val stopping = attempts.filter { it.stopCause != null }
        val freed = ResourceUsage()
        stopping.forEach { freed.add(it.job.spec.placementClass) }
        val tasksAfterStops = candidate.fittingTasksAfter(freed, placementClass)
        if (tasksAfterStops > 0) return Option(candidate, stopping, emptyList(), tasksAfterStops, 0.0)
        val victims = cheapestVictims(candidate, attempts, freed)
        if (victims.isEmpty()) return null
        val tasks = candidate.fittingTasksAfter(freed, placementClass)
        val fetchCpuS = fetchS(candidate) * placementClass.cpus
        return Option(candidate, stopping, victims, tasks, (fetchCpuS + victims.sumOf(victimOrder::lostCpuS)) / tasks)
    }

    private fun isPreemptible(attempt: Attempt): Boolean {
        if (attempt.stopCause != null) return false
        val hasLowerPriority = spec.priority == Priority.PRODUCTION && attempt.job.spec.priority > spec.priority
        return hasLowerPriority || (reclaims && attempt.job.spec.team != spec.team)
    }

    /** Whether the attempt may be stopped in addition to [victims]: of other teams only what they run beyond their guarantees. */
    private fun mayStop(attempt: Attempt, victims: List<Attempt>) =
        attempt.job.spec.team == spec.team || borrowedCapacity.includes(attempt, victims)

    /**
     * Adds victims in order until a task fits, then leaves out those that aren't needed; empty if none fits. Adds the resources of the
     * victims to [freed].
     */
    private fun cheapestVictims(candidate: CandidateMachine, attempts: List<Attempt>, freed: ResourceUsage): List<Attempt> {
        fun fits() = candidate.fittingTasksAfter(freed, placementClass) > 0
        val victims = ArrayList<Attempt>()
        for (attempt in attempts) {
            if (fits()) break
            if (isPreemptible(attempt) && mayStop(attempt, victims)) {
                victims += attempt
                freed.add(attempt.job.spec.placementClass)
            }
        }
        if (!fits()) return emptyList()
        for (attempt in victims.dropLast(1).asReversed()) {
            freed.remove(attempt.job.spec.placementClass)
            if (fits()) victims -= attempt else freed.add(attempt.job.spec.placementClass)
        }
        return victims
    }

    /**
     * Removes and returns the option with the lowest loss per task among those in the allowed zones. Plans for other classes may have
     * changed what is left on a machine, so each option is evaluated again before it is returned.
     */
    private fun pollBest(allowance: ZoneAllowance): Option? {
        val skipped = ArrayList<Option>()
        var best: Option? = null
        var option = options.poll()
        while (option != null && best == null) {
            val current = if (option.candidate.zone in allowance) optionOn(option.candidate) else null
            when {
                option.candidate.zone !in allowance -> skipped += option
                current != null && current.lossPerTask <= option.lossPerTask -> best = current
                current != null -> options += current
            }
            if (best == null) option = options.poll()
        }
        options += skipped
        return best
    }

    private fun fetchS(candidate: CandidateMachine): Double =
        if (candidate.machine.hasImage(placementClass.image)) 0.0 else spec.imageGb / (candidate.machine.type?.fetchGbPerS ?: 1.0)
}
