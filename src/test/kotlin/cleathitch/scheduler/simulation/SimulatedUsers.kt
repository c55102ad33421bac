package cleathitch.scheduler.simulation

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.TaskId

/** Users who submit, poll and cancel jobs, repeat requests until they are answered, and check the answers. */
class SimulatedUsers(private val cluster: SimulatedCluster) {
    private val events = cluster.events
    private val random = cluster.random
    private val rules get() = cluster.rules
    private val jobs = LinkedHashMap<JobId, SubmittedJob>()
    private val completedTasks = HashSet<TaskId>()
    private val startedAtMs = HashMap<JobId, Long>()

    /** All jobs in the order of their submission. */
    val submitted: Map<JobId, SubmittedJob> get() = jobs

    /** When the first task of each job was given to a machine. */
    val firstStartMs: Map<JobId, Long> get() = startedAtMs

    fun isCompleted(task: TaskId) = task in completedTasks

    fun missingResults(spec: JobSpec) = (0 until spec.tasks).count { TaskId(spec.id, it) !in completedTasks }

    fun submit(spec: JobSpec) {
        val job = jobs.getOrPut(spec.id) { SubmittedJob(spec) }
        fun ask() {
            if (job.isAccepted) return
            request(job) { Input.Submit(it, spec) }
            events.after(REPEAT_AFTER_MS, ::ask)
        }
        ask()
        fun poll() {
            if (job.isAccepted) request(job) { Input.Poll(it, spec.id) }
            events.after(POLL_EVERY_MS, ::poll)
        }
        poll()
    }

    fun cancel(id: JobId) {
        val job = jobs.getValue(id)
        job.recordCancellationRequest()
        fun ask() {
            if (job.hasEnded) return
            if (job.isAccepted) request(job) { Input.Cancel(it, id) }
            events.after(REPEAT_AFTER_MS, ::ask)
        }
        ask()
    }

    /** Cancels several running jobs at once; with [hang], the machines that know them hang at that moment. */
    fun cancelRunningJobs(hang: Boolean) {
        val workers = cluster.cloud.machines.values
        val running = jobs.values.filter { job -> !job.isCancellationRequested && workers.any { it.knows(job.spec.id) } }
        for (job in running.shuffled(random).take(JOBS_CANCELLED_TOGETHER)) {
            if (hang) workers.filter { it.knows(job.spec.id) }.forEach { it.hang(maxMs = (cluster.deployment.cancelS * 1500).toLong()) }
            cancel(job.spec.id)
        }
    }

    /** Repeats a submission, cancels a job that is done, and submits one that can never run. */
    fun sendUnusualRequests() {
        jobs.values.filter { it.isAccepted }.randomOrNull(random)?.let { job -> request(job) { Input.Submit(it, job.spec) } }
        jobs.values.filter { it.isReportedDone }.randomOrNull(random)?.let { job -> request(job) { Input.Cancel(it, job.spec.id) } }
        submitUnsatisfiableJob()
    }

    /** A worker was given [task]. */
    fun recordStart(task: TaskId) {
        startedAtMs.putIfAbsent(task.job, events.nowMs)
    }

    /** [task] has ended with a result on a worker. */
    fun recordCompletion(task: TaskId) {
        if (!completedTasks.add(task)) return
        val id = task.job
        val job = jobs.getValue(id)
        if (missingResults(job.spec) > 0) return
        // An answer in the moments around a job's end may be denied by a successor, so many are asked for.
        if (cluster.faults.killsBeforeArchive > 0) {
            repeat(POLLS_AROUND_END) {
                events.after(random.nextLong(4 * SimulatedCluster.LEASE_TTL_MS)) { request(job) { Input.Poll(it, id) } }
            }
        }
        if (random.nextDouble() < cluster.faults.cancelledAtEnd) events.after(random.nextLong(200)) { cancel(id) }
    }

    private fun submitUnsatisfiableJob() {
        val satisfiable = SimulatedCluster.job(900_000 + random.nextInt(100_000))
        val unsatisfiable = listOf(
            satisfiable.copy(team = "green"),
            satisfiable.copy(cpus = 99.0),
            satisfiable.copy(allowedTypes = setOf("m9")),
            satisfiable.copy(zone = "c"),
            satisfiable.copy(kind = JobKind.SERVICE, tasks = 7),
        )
        val controller = cluster.randomLeader() ?: return
        val request = cluster.pendingRequests.ofUser(rules::checkUnsatisfiableJobIsRefused)
        controller.handle(Input.Submit(request, unsatisfiable.random(random)))
    }

    /** Sends a request about [job] to a controller that leads or takes itself for the leader. */
    private fun request(job: SubmittedJob, input: (RequestId) -> Input) {
        val controller = cluster.randomLeader() ?: return
        val known = KnownState(job.isAccepted, job.isReportedCancelled, job.isReportedDone)
        val request = cluster.pendingRequests.ofUser { receive(job, it, known) }
        events.after(random.nextLong(1, 10)) { controller.handle(input(request)) }
    }

    private fun receive(job: SubmittedJob, reply: UserReply, known: KnownState) {
        if (reply !is UserReply.Unavailable) job.recordAnswer(events.nowMs)
        if (reply is UserReply.Accepted) job.recordAcceptance()
        val state = when (reply) {
            is UserReply.Accepted -> reply.state
            is UserReply.Status -> reply.state
            is UserReply.Cancelled -> reply.state
            UserReply.NotFound, is UserReply.Unsatisfiable -> return rules.checkJobIsRemembered(job, reply, known)
            is UserReply.Unavailable -> return
        }
        rules.checkStateIsKept(job, state, known)
        if (state == JobState.CANCELLED) job.recordCancelled(events.nowMs)
        if (state == JobState.DONE) {
            job.recordDone()
            rules.checkDoneJobHasAllResults(job)
        }
    }

    /** What the user of a job knew when a request was sent; no answer to it may go back behind that. */
    class KnownState(val isAccepted: Boolean, val isCancelled: Boolean, val isDone: Boolean)

    private companion object {
        const val REPEAT_AFTER_MS = 1500L
        const val POLL_EVERY_MS = 5000L
        const val POLLS_AROUND_END = 40
        const val JOBS_CANCELLED_TOGETHER = 4
    }
}
