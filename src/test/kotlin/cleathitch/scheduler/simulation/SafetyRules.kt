package cleathitch.scheduler.simulation

import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.simulation.SimulatedUsers.KnownState

/** The rules that hold whatever fails, with the name that the protocol's pages give to a breach, where they have one. */
enum class Rule(private val meaning: String) {
    RUNS_ONCE("ran_twice: no task runs on two machines at the same time"),
    CANCELLED_TASKS_STOP("ran_cancelled: no task of a cancelled job runs after the cancellation deadline"),
    QUOTA("quota: no team uses more than its limit"),
    ALLOWED_PLACE("wrong_place: tasks run only where their job allows it"),
    REMEMBERED("forgotten: an accepted job is never forgotten"),
    FINAL_STATE("went_back: a final state never changes, and a job is cancelled only by its user"),
    DONE_MEANS_RESULTS("not_done: a job is done only with the results of all tasks"),
    UNSATISFIABLE_REFUSED("a job that can never run is refused"),
    NO_NEEDLESS_WAIT("with faults over, no job waits long while a machine has room for it"),
    ;

    override fun toString() = "$name ($meaning)"
}

/** A broken rule, and what broke it. */
data class Violation(val rule: Rule, val detail: String) {
    override fun toString() = "$rule: $detail"
}

/** Checks each [Rule] by a function of its own and collects the violations; the run ends with the first event that has any. */
class SafetyRules(private val cluster: SimulatedCluster) {
    private class RunningTask(val task: TaskId, val worker: SimulatedWorker, val job: SubmittedJob)

    private val needlessWaits = NeedlessWaits(cluster)
    private val found = ArrayList<Violation>()
    val violations: List<Violation> get() = found

    /** Checks the rules that concern the whole cluster, after each event. */
    fun checkCluster() {
        val running = runningTasks()
        checkRunsOnce(running)
        checkCancelledTasksStop(running)
        checkQuota(running)
        checkZones(running)
        if (cluster.isCalm) {
            needlessWaits.findNew().forEach { violate(Rule.NO_NEEDLESS_WAIT, "$it waits though a machine has room") }
            checkAnswersContinue()
        }
        if (found.isNotEmpty()) cluster.log("VIOLATED $found")
    }

    /** [worker] was given [task]. */
    fun checkStart(task: TaskId, worker: SimulatedWorker) {
        val spec = cluster.users.submitted.getValue(task.job).spec
        if (worker.spot && !spec.spotAllowed) violate(Rule.ALLOWED_PLACE, "$task on a spot machine")
        if (spec.zone != null && worker.zone != spec.zone) violate(Rule.ALLOWED_PLACE, "$task in ${worker.zone}")
    }

    fun checkUnsatisfiableJobIsRefused(reply: UserReply) {
        if (reply !is UserReply.Unsatisfiable && reply !is UserReply.Unavailable) violate(Rule.UNSATISFIABLE_REFUSED, "$reply")
    }

    /** [reply] says that there is no such job, or that it can never run. */
    fun checkJobIsRemembered(job: SubmittedJob, reply: UserReply, known: KnownState) {
        if (reply is UserReply.Unsatisfiable || known.isAccepted) violate(Rule.REMEMBERED, "${job.spec.id} answered with $reply")
    }

    /** [state] was answered to a request whose sender knew [known]. */
    fun checkStateIsKept(job: SubmittedJob, state: JobState, known: KnownState) {
        val id = job.spec.id
        if (known.isCancelled && state != JobState.CANCELLED) violate(Rule.FINAL_STATE, "$id was cancelled, now $state")
        if (known.isDone && state != JobState.DONE) violate(Rule.FINAL_STATE, "$id was done, now $state")
        if (state == JobState.CANCELLED && !job.isCancellationRequested) violate(Rule.FINAL_STATE, "$id cancelled by nobody")
    }

    fun checkDoneJobHasAllResults(job: SubmittedJob) {
        val missing = cluster.users.missingResults(job.spec)
        if (missing > 0) violate(Rule.DONE_MEANS_RESULTS, "${job.spec.id} lacks $missing")
    }

    private fun runningTasks() = cluster.cloud.machines.values.flatMap { worker ->
        worker.runningTasks().map { RunningTask(it, worker, cluster.users.submitted.getValue(it.job)) }
    }

    private fun checkRunsOnce(running: List<RunningTask>) {
        val places = HashMap<TaskId, SimulatedWorker>()
        for (it in running) {
            val other = places.put(it.task, it.worker) ?: continue
            violate(Rule.RUNS_ONCE, "${it.task} on ${other.id} and ${it.worker.id}")
        }
    }

    private fun checkCancelledTasksStop(running: List<RunningTask>) {
        for (it in running) {
            val confirmedMs = it.job.cancellationConfirmedMs ?: continue
            if (cluster.events.nowMs - confirmedMs > cluster.deployment.cancelS * 1000) {
                violate(Rule.CANCELLED_TASKS_STOP, "${it.task} on ${it.worker.id}")
            }
        }
    }

    private fun checkQuota(running: List<RunningTask>) {
        val cpus = HashMap<String, Double>()
        for (it in running) cpus.merge(it.job.spec.team, it.job.spec.cpus, Double::plus)
        for ((team, used) in cpus) {
            val maxCpus = cluster.deployment.teams.getValue(team).maxCpus ?: continue
            if (used > maxCpus + ROUNDING_CPUS) violate(Rule.QUOTA, "$team uses $used of $maxCpus")
        }
    }

    private fun checkZones(running: List<RunningTask>) {
        val zones = HashMap<JobId, HashMap<String, Int>>()
        for (it in running) zones.getOrPut(it.task.job) { HashMap() }.merge(it.worker.zone, 1, Int::plus)
        for ((job, tasksByZone) in zones) {
            val spec = cluster.users.submitted.getValue(job).spec
            if (spec.oneZone && tasksByZone.size > 1) violate(Rule.ALLOWED_PLACE, "$job in ${tasksByZone.keys}")
            if (tasksByZone.values.any { it > spec.maxPerZone }) violate(Rule.ALLOWED_PLACE, "$job spread as $tasksByZone")
        }
    }

    private fun checkAnswersContinue() {
        val nowMs = cluster.events.nowMs
        cluster.users.submitted.values.firstOrNull {
            it.isAccepted && nowMs - maxOf(it.answeredAtMs, cluster.calmSinceMs) > MAX_SILENCE_MS
        }?.let { violate(Rule.REMEMBERED, "no answer about ${it.spec.id}") }
    }

    private fun violate(rule: Rule, detail: String) {
        found += Violation(rule, detail)
    }

    private companion object {
        const val ROUNDING_CPUS = 1e-6

        /** An accepted job without any answer for so long counts as forgotten. */
        const val MAX_SILENCE_MS = 75_000L
    }
}
