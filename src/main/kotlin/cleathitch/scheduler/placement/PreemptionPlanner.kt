package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.MS_PER_S
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
    private val jobTable: JobTable,
    private val borrowedCapacity: BorrowedCapacity,
    private val reclaims: Boolean,
    private val nowMs: Long,
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

    /** The least work lost first; among tasks that lose equally much, the one that was started last. */
    private val victimOrder = compareBy<Attempt>({ lostCpuS(it) }, { nowMs - (it.runningSinceMs ?: nowMs) })
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
        val (stopping, running) = jobTable.attemptsOn(candidate.machine.id).partition { it.stopCause != null }
        val tasksAfterStops = candidate.fittingTasksWithout(stopping, placementClass)
        if (tasksAfterStops > 0) return Option(candidate, stopping, emptyList(), tasksAfterStops, 0.0)
        val victims = cheapestVictims(candidate, stopping, running.filter(::isPreemptible))
        if (victims.isEmpty()) return null
        val tasks = candidate.fittingTasksWithout(stopping + victims, placementClass)
        val fetchCpuS = fetchS(candidate) * placementClass.cpus
        return Option(candidate, stopping, victims, tasks, (fetchCpuS + victims.sumOf(::lostCpuS)) / tasks)
    }

    private fun isPreemptible(attempt: Attempt): Boolean {
        val hasLowerPriority = spec.priority == Priority.PRODUCTION && attempt.job.spec.priority > spec.priority
        return hasLowerPriority || (reclaims && attempt.job.spec.team != spec.team)
    }

    /** Whether the attempt may be stopped in addition to [victims]: of other teams only what they run beyond their guarantees. */
    private fun mayStop(attempt: Attempt, victims: List<Attempt>) =
        attempt.job.spec.team == spec.team || borrowedCapacity.includes(attempt, victims)

    /** Adds victims in order until a task fits, then leaves out those that aren't needed; empty if none fits. */
    private fun cheapestVictims(candidate: CandidateMachine, stopping: List<Attempt>, preemptible: List<Attempt>): List<Attempt> {
        fun fits(victims: List<Attempt>) = candidate.fittingTasksWithout(stopping + victims, placementClass) > 0
        if (preemptible.isEmpty() || !fits(preemptible)) return emptyList()
        val victims = ArrayList<Attempt>()
        for (attempt in preemptible.sortedWith(victimOrder)) {
            if (!mayStop(attempt, victims)) continue
            victims += attempt
            if (fits(victims)) break
        }
        if (!fits(victims)) return emptyList()
        for (attempt in victims.dropLast(1).asReversed()) {
            if (fits(victims - attempt)) victims -= attempt
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
        while (best == null) {
            val option = options.poll() ?: break
            if (option.candidate.zone !in allowance) {
                skipped += option
                continue
            }
            val current = optionOn(option.candidate) ?: continue
            if (current.lossPerTask <= option.lossPerTask) best = current else options += current
        }
        options += skipped
        return best
    }

    private fun fetchS(candidate: CandidateMachine): Double =
        if (candidate.machine.hasImage(placementClass.image)) 0.0 else spec.imageGb / (candidate.machine.type?.fetchGbPerS ?: 1.0)

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
