package cleathitch.scheduler.simulation

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.TaskId

/** Users who submit, poll and cancel jobs, retry requests until they are answered, and check the answers against the invariants. */
class SimulatedUsers(private val cluster: SimulatedCluster) {
    private val events = cluster.events
    private val random = cluster.random
    private val invariants get() = cluster.invariants
    private val jobs = LinkedHashMap<JobId, SubmittedJob>()
    private val completedTasks = HashSet<TaskId>()
    private val startedAtMs = HashMap<JobId, Long>()

    /** All jobs in the order in which they were submitted. */
    val submitted: Map<JobId, SubmittedJob> get() = jobs

    /** When the first task of each job was started on a worker. */
    val firstStartMs: Map<JobId, Long> get() = startedAtMs

    fun isCompleted(task: TaskId) = task in completedTasks

    fun missingResults(spec: JobSpec) = (0 until spec.tasks).count { TaskId(spec.id, it) !in completedTasks }

    fun submit(spec: JobSpec) {
        val job = jobs.getOrPut(spec.id) { SubmittedJob(spec) }
        fun sendUntilAccepted() {
            if (job.isAccepted) return
            request(job) { Input.Submit(it, spec) }
            events.schedule(RETRY_INTERVAL_MS, ::sendUntilAccepted)
        }
        sendUntilAccepted()
        fun poll() {
            if (job.isAccepted) request(job) { Input.Poll(it, spec.id) }
            events.schedule(POLL_INTERVAL_MS, ::poll)
        }
        poll()
    }

    fun cancel(id: JobId) {
        val job = jobs.getValue(id)
        job.recordCancellationRequest()
        fun sendUntilEnded() {
            if (job.hasEnded) return
            if (job.isAccepted) request(job) { Input.Cancel(it, id) }
            events.schedule(RETRY_INTERVAL_MS, ::sendUntilEnded)
        }
        sendUntilEnded()
    }

    /** Cancels several running jobs at once. If [hang] is set, the machines that have tasks of these jobs hang from that moment. */
    fun cancelRunningJobs(hang: Boolean) {
        val workers = cluster.cloud.machines.values
        val running = jobs.values.filter { job -> !job.isCancellationRequested && workers.any { it.hasTasksOf(job.spec.id) } }
        for (job in running.shuffled(random).take(JOBS_PER_MASS_CANCELLATION)) {
            if (hang) {
                workers.filter {
                    it.hasTasksOf(job.spec.id)
                }.forEach { it.hang(maxMs = (cluster.deployment.cancellationDeadlineS * 1500).toLong()) }
            }
            cancel(job.spec.id)
        }
    }

    /** Submits an accepted job again, cancels a job that is done, and submits a job that can never run. */
    fun sendEdgeCaseRequests() {
        jobs.values.filter { it.isAccepted }.randomOrNull(random)?.let { job -> request(job) { Input.Submit(it, job.spec) } }
        jobs.values.filter { it.isReportedDone }.randomOrNull(random)?.let { job -> request(job) { Input.Cancel(it, job.spec.id) } }
        submitUnsatisfiableJob()
    }

    /** Records that a worker has started [task]. */
    fun recordStart(task: TaskId) {
        startedAtMs.putIfAbsent(task.job, events.nowMs)
    }

    /** Records that [task] has completed on a worker and its result exists. */
    fun recordCompletion(task: TaskId) {
        if (!completedTasks.add(task)) return
        val id = task.job
        val job = jobs.getValue(id)
        if (missingResults(job.spec) > 0) return
        // Polls the job many times after its completion, to detect a new leader that contradicts an answer of an earlier leader.
        if (cluster.faults.leaderKillsBeforeArchival > 0) {
            repeat(POLLS_AFTER_COMPLETION) {
                events.schedule(random.nextLong(4 * SimulatedCluster.LEASE_TTL_MS)) { request(job) { Input.Poll(it, id) } }
            }
        }
        if (random.nextDouble() < cluster.faults.cancellationsAtCompletion) events.schedule(random.nextLong(200)) { cancel(id) }
    }

    private fun submitUnsatisfiableJob() {
        val satisfiable = SimulatedCluster.jobSpec(900_000 + random.nextInt(100_000))
        val unsatisfiable = listOf(
            satisfiable.copy(team = "green"),
            satisfiable.copy(cpus = 99.0),
            satisfiable.copy(allowedTypes = setOf("m9")),
            satisfiable.copy(zone = "c"),
            satisfiable.copy(kind = JobKind.SERVICE, tasks = 7),
        )
        val controller = cluster.randomLeader() ?: return
        val request = cluster.pendingRequests.addUserRequest(invariants::checkUnsatisfiableJobIsRefused)
        controller.handle(Input.Submit(request, unsatisfiable.random(random)))
    }

    /** Sends a request about [job] to a controller that considers itself the leader; it may have been deposed. */
    private fun request(job: SubmittedJob, input: (RequestId) -> Input) {
        val controller = cluster.randomLeader() ?: return
        val observed = ObservedState(job.isAccepted, job.isReportedCancelled, job.isReportedDone)
        val request = cluster.pendingRequests.addUserRequest { receive(job, it, observed) }
        events.schedule(random.nextLong(1, 10)) { controller.handle(input(request)) }
    }

    private fun receive(job: SubmittedJob, reply: UserReply, observed: ObservedState) {
        if (reply !is UserReply.Unavailable) job.recordAnswer(events.nowMs)
        if (reply is UserReply.Accepted) job.recordAcceptance()
        val state = when (reply) {
            is UserReply.Accepted -> reply.state
            is UserReply.Status -> reply.state
            is UserReply.Cancelled -> reply.state
            UserReply.NotFound, is UserReply.Unsatisfiable -> return invariants.checkJobIsRetained(job, reply, observed)
            is UserReply.Unavailable -> return
        }
        invariants.checkFinalState(job, state, observed)
        if (state == JobState.CANCELLED) job.recordCancelled(events.nowMs)
        if (state == JobState.DONE) {
            job.recordDone()
            invariants.checkDoneJobHasAllResults(job)
        }
    }

    /** What the user of a job had observed when a request was sent. The answer must not contradict it. */
    class ObservedState(val isAccepted: Boolean, val isCancelled: Boolean, val isDone: Boolean)

    private companion object {
        const val RETRY_INTERVAL_MS = 1500L
        const val POLL_INTERVAL_MS = 5000L
        const val POLLS_AFTER_COMPLETION = 40
        const val JOBS_PER_MASS_CANCELLATION = 4
    }
}
