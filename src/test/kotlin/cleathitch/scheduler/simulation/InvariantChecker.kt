package cleathitch.scheduler.simulation

import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.simulation.SimulatedUsers.ObservedState

/**
 * Properties that must hold under every combination of faults. [meaning] begins with the protocol documentation's name for the
 * violation, if it has one.
 */
enum class Invariant(private val meaning: String) {
    NO_DUPLICATE_EXECUTION("ran_twice: no task runs on two machines at the same time"),
    CANCELLED_TASKS_STOP("ran_cancelled: no task of a cancelled job runs after the cancellation deadline"),
    QUOTA("quota: no team uses more than its limit"),
    PLACEMENT_CONSTRAINTS("wrong_place: tasks run only where their job allows it"),
    ACCEPTED_JOBS_RETAINED("forgotten: an accepted job is never lost"),
    FINAL_STATES_IMMUTABLE("went_back: a final state never changes, and a job is cancelled only by its user"),
    DONE_JOBS_COMPLETE("not_done: a job is reported as done only if the results of all its tasks exist"),
    UNSATISFIABLE_JOBS_REFUSED("a job that can never run is refused"),
    NO_UNNECESSARY_WAIT("once faults end, no job waits long while a machine has room for it"),
    ;

    override fun toString() = "$name ($meaning)"
}

/** A violated [Invariant], with the job, task, machine or team that violates it. */
data class Violation(val invariant: Invariant, val detail: String) {
    override fun toString() = "$invariant: $detail"
}

/** Checks every [Invariant] and collects the violations; the simulation stops after the first event that causes any. */
class InvariantChecker(private val cluster: SimulatedCluster) {
    private class RunningTask(val task: TaskId, val worker: SimulatedWorker, val job: SubmittedJob)

    private val unnecessaryWaits = UnnecessaryWaitDetector(cluster)
    private val foundViolations = ArrayList<Violation>()
    val violations: List<Violation> get() = foundViolations

    /** Checks the invariants of the cluster as a whole. Called after each simulated event. */
    fun checkCluster() {
        val running = runningTasks()
        checkNoDuplicateExecution(running)
        checkCancelledTasksStop(running)
        checkQuota(running)
        checkZoneConstraints(running)
        if (cluster.faultsEnded) {
            unnecessaryWaits.detect().forEach { violate(Invariant.NO_UNNECESSARY_WAIT, "$it waits although a machine has room for it") }
            checkAcceptedJobsAreAnswered()
        }
        if (foundViolations.isNotEmpty()) cluster.log("invariants violated: $foundViolations")
    }

    /** Checks the placement constraints of [task], which [worker] has just started. */
    fun checkStart(task: TaskId, worker: SimulatedWorker) {
        val spec = cluster.users.submitted.getValue(task.job).spec
        if (worker.spot && !spec.spotAllowed) {
            violate(Invariant.PLACEMENT_CONSTRAINTS, "$task started on spot machine ${worker.id}, but its job does not allow spot machines")
        }
        if (spec.zone != null && worker.zone != spec.zone) {
            violate(Invariant.PLACEMENT_CONSTRAINTS, "$task started in zone ${worker.zone}, but its job requires zone ${spec.zone}")
        }
    }

    fun checkUnsatisfiableJobIsRefused(reply: UserReply) {
        if (reply !is UserReply.Unsatisfiable && reply !is UserReply.Unavailable) {
            violate(Invariant.UNSATISFIABLE_JOBS_REFUSED, "the submission of a job that can never run was answered with $reply")
        }
    }

    /**
     * Checks [reply], which says that [job] does not exist or can never run. The first is a violation if the user knew that the job was
     * accepted; the second always is, because every job in [SimulatedUsers.submitted] can run.
     */
    fun checkJobIsRetained(job: SubmittedJob, reply: UserReply, observed: ObservedState) {
        if (reply is UserReply.Unsatisfiable || observed.isAccepted) {
            violate(Invariant.ACCEPTED_JOBS_RETAINED, "a request about ${job.spec.id} was answered with $reply")
        }
    }

    /**
     * Checks that [state] does not contradict a final state that the user already knew when sending the request, as given by
     * [observed], and that a cancelled job was cancelled by its user.
     */
    fun checkFinalState(job: SubmittedJob, state: JobState, observed: ObservedState) {
        val id = job.spec.id
        if (observed.isCancelled && state != JobState.CANCELLED) violate(Invariant.FINAL_STATES_IMMUTABLE, "$id was cancelled, now $state")
        if (observed.isDone && state != JobState.DONE) violate(Invariant.FINAL_STATES_IMMUTABLE, "$id was done, now $state")
        if (state == JobState.CANCELLED && !job.isCancellationRequested) {
            violate(Invariant.FINAL_STATES_IMMUTABLE, "$id is cancelled, but its user did not cancel it")
        }
    }

    fun checkDoneJobHasAllResults(job: SubmittedJob) {
        val missing = cluster.users.missingResults(job.spec)
        if (missing > 0) {
            violate(Invariant.DONE_JOBS_COMPLETE, "${job.spec.id} is done, but $missing of ${job.spec.tasks} task results are missing")
        }
    }

    private fun runningTasks() = cluster.cloud.machines.values.flatMap { worker ->
        worker.runningTasks().map { RunningTask(it, worker, cluster.users.submitted.getValue(it.job)) }
    }

    private fun checkNoDuplicateExecution(running: List<RunningTask>) {
        val workerByTask = HashMap<TaskId, SimulatedWorker>()
        for (it in running) {
            val other = workerByTask.put(it.task, it.worker) ?: continue
            violate(Invariant.NO_DUPLICATE_EXECUTION, "${it.task} runs on ${other.id} and ${it.worker.id}")
        }
    }

    private fun checkCancelledTasksStop(running: List<RunningTask>) {
        for (it in running) {
            val confirmedMs = it.job.cancellationConfirmedMs ?: continue
            if (cluster.events.nowMs - confirmedMs > cluster.deployment.cancellationDeadlineS * 1000) {
                violate(Invariant.CANCELLED_TASKS_STOP, "${it.task} still runs on ${it.worker.id}")
            }
        }
    }

    private fun checkQuota(running: List<RunningTask>) {
        val cpus = HashMap<String, Double>()
        for (it in running) cpus.merge(it.job.spec.team, it.job.spec.cpus, Double::plus)
        for ((team, used) in cpus) {
            val maxCpus = cluster.deployment.teams.getValue(team).maxCpus ?: continue
            if (used > maxCpus + CPU_ROUNDING_TOLERANCE) violate(Invariant.QUOTA, "team $team uses $used CPUs, its limit is $maxCpus")
        }
    }

    private fun checkZoneConstraints(running: List<RunningTask>) {
        val zones = HashMap<JobId, HashMap<String, Int>>()
        for (it in running) zones.getOrPut(it.task.job) { HashMap() }.merge(it.worker.zone, 1, Int::plus)
        for ((job, tasksByZone) in zones) {
            val spec = cluster.users.submitted.getValue(job).spec
            if (spec.oneZone && tasksByZone.size > 1) {
                violate(Invariant.PLACEMENT_CONSTRAINTS, "$job must run in one zone, but runs in ${tasksByZone.keys}")
            }
            if (tasksByZone.values.any { it > spec.maxPerZone }) {
                violate(Invariant.PLACEMENT_CONSTRAINTS, "$job may have ${spec.maxPerZone} tasks in a zone, but has $tasksByZone")
            }
        }
    }

    private fun checkAcceptedJobsAreAnswered() {
        val nowMs = cluster.events.nowMs
        cluster.users.submitted.values.firstOrNull {
            it.isAccepted && nowMs - maxOf(it.lastAnsweredAtMs, cluster.faultsEndedAtMs) > MAX_UNANSWERED_MS
        }?.let { violate(Invariant.ACCEPTED_JOBS_RETAINED, "no answer about ${it.spec.id} for more than $MAX_UNANSWERED_MS ms") }
    }

    private fun violate(invariant: Invariant, detail: String) {
        foundViolations += Violation(invariant, detail)
    }

    private companion object {
        const val CPU_ROUNDING_TOLERANCE = 1e-6

        /** An accepted job about which users get no answer for this long counts as lost. */
        const val MAX_UNANSWERED_MS = 75_000L
    }
}
