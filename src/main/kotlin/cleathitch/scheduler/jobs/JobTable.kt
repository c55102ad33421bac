package cleathitch.scheduler.jobs

import cleathitch.scheduler.log.CompactedJob
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.FinalState
import cleathitch.scheduler.log.FinishedJobsSnapshot
import cleathitch.scheduler.log.JobSnapshot
import cleathitch.scheduler.log.LiveAttempt
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.LoggedAttempt
import cleathitch.scheduler.log.LoggedJobs
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskId

/**
 * All jobs with their completed tasks and live attempts. The contents are determined by the applied events. Confined to the leader's
 * event loop.
 */
class JobTable : LoggedJobs {
    private val jobsById = LinkedHashMap<JobId, Job>()

    /** The archived jobs, of which only the final state is kept. */
    private val finalStates = HashMap<JobId, FinalState>()
    private val attemptsByMachine = HashMap<MachineId, LinkedHashMap<AttemptId, Attempt>>()
    private val usageByMachine = HashMap<MachineId, ResourceUsage>()
    private val usageByTeam = HashMap<String, ResourceUsage>()

    /** The jobs that aren't archived. Compaction archives a job once it is in a terminal state and has no live attempts. */
    val jobs: Collection<Job> get() = jobsById.values

    /** The job with this id, null if it is unknown or archived. */
    fun job(id: JobId): Job? = jobsById[id]

    /** The final state of an archived job, null if the job isn't archived. */
    fun finalState(id: JobId): FinalState? = finalStates[id]

    /** The attempts that may still be running on the machine; not a copy, so the collection changes with later events. */
    fun attemptsOn(machine: MachineId): Collection<Attempt> = attemptsByMachine[machine]?.values.orEmpty()

    /** The attempt with this id, null if it isn't live. */
    fun attempt(id: AttemptId): Attempt? = jobsById[id.task.job]?.liveAttempts?.get(id.task.index)?.takeIf { it.id == id }

    /** The resources held by the live attempts on the machine, null if there are none. */
    fun usageOnMachine(machine: MachineId): ResourceUsage? = usageByMachine[machine]

    /** The resources held by the team's live attempts, null if it never had any. */
    fun usageOfTeam(team: String): ResourceUsage? = usageByTeam[team]

    /** The machines that have live attempts, as a view that reflects later changes. */
    val machinesInUse: Set<MachineId> get() = attemptsByMachine.keys

    /** Applies [event], which is contained in record [recordIndex]. */
    fun apply(event: Event.JobEvent, recordIndex: LogIndex) {
        when (event) {
            is Event.JobAccepted -> jobsById.getOrPut(event.job) { Job(event.spec, event.acceptedAtWallMs, recordIndex) }
            is Event.JobCancelled -> jobsById[event.job]?.let { if (!it.isTerminal) it.recordCancellation(recordIndex) }
            is Event.AttemptStarted -> jobsById[event.job]?.let {
                addAttempt(Attempt(AttemptId(TaskId(event.job, event.taskIndex), event.number), it, event.machine, recordIndex))
            }
            is Event.AttemptTerminated -> jobsById[event.job]?.liveAttempts?.get(event.taskIndex)
                ?.takeIf { it.id.number == event.number }?.let(::removeAttempt)
            is Event.TaskCompleted -> jobsById[event.job]?.let { job ->
                job.recordCompletion(event.taskIndex, recordIndex)
                job.liveAttempts[event.taskIndex]?.takeIf { it.id.number == event.number }?.let(::removeAttempt)
            }
        }
    }

    /** Restores a job from its snapshot. */
    fun restore(snapshot: JobSnapshot) {
        val job = Job(snapshot.spec, snapshot.acceptedAtWallMs, snapshot.lastIncludedIndex)
        job.restoreProgress(snapshot.completedTasks, snapshot.lastAttemptNumber)
        if (snapshot.isCancelled) job.recordCancellation(snapshot.lastIncludedIndex)
        jobsById[job.id] = job
        snapshot.liveAttempts.forEach {
            addAttempt(Attempt(AttemptId(TaskId(job.id, it.taskIndex), it.number), job, it.machine, snapshot.lastIncludedIndex))
        }
    }

    /** Restores the final states of archived jobs. */
    fun restore(snapshot: FinishedJobsSnapshot) {
        snapshot.completed.forEach { finalStates[it] = FinalState.DONE }
        snapshot.cancelled.forEach { finalStates[it] = FinalState.CANCELLED }
    }

    override fun isStartUnobserved(attempt: AttemptId): Boolean = attempt(attempt)?.let { it.observedState == null } ?: false

    override fun compact(id: JobId, lastIncludedIndex: LogIndex): CompactedJob {
        val job = jobsById[id] ?: return CompactedJob.Archived
        if (isArchivable(job)) return CompactedJob.Finished(id, finalStateOf(job))
        val attempts = job.liveAttempts.values.sortedBy { it.startIndex }
        return CompactedJob.Open(snapshotWithoutAttempts(job, lastIncludedIndex), attempts.size, attempts.asSequence().map(::loggedAttempt))
    }

    private fun loggedAttempt(attempt: Attempt) =
        LoggedAttempt(LiveAttempt(attempt.id.task.index, attempt.id.number, attempt.machine), attempt.startIndex)

    override fun relocateStart(start: Event.AttemptStarted, index: LogIndex) {
        attempt(AttemptId(TaskId(start.job, start.taskIndex), start.number))?.relocateStart(index)
    }

    override fun archive(id: JobId) {
        val job = checkNotNull(jobsById[id]) { "can't archive job $id: it is not in the job table" }
        check(isArchivable(job)) { "can't archive job $id: terminal=${job.isTerminal}, live attempts: ${job.liveAttempts.size}" }
        finalStates[id] = finalStateOf(job)
        jobsById.remove(id)
    }

    private fun isArchivable(job: Job) = job.isTerminal && job.liveAttempts.isEmpty()
    private fun finalStateOf(job: Job) = if (job.isCancelled) FinalState.CANCELLED else FinalState.DONE

    private fun snapshotWithoutAttempts(job: Job, lastIncludedIndex: LogIndex) = JobSnapshot(
        lastIncludedIndex,
        job.spec,
        job.acceptedAtWallMs,
        job.isCancelled,
        job.completedTaskBits(),
        liveAttempts = emptyList(),
        job.lastAttemptNumber,
    )

    private fun addAttempt(attempt: Attempt) {
        val job = attempt.job
        check(attempt.id.task.index !in job.liveAttempts) { "can't add attempt ${attempt.id}: the task already has a live attempt" }
        job.recordStart(attempt)
        attemptsByMachine.getOrPut(attempt.machine) { LinkedHashMap() }[attempt.id] = attempt
        usageByMachine.getOrPut(attempt.machine) { ResourceUsage() }.add(job.spec.placementClass)
        usageByTeam.getOrPut(job.spec.team) { ResourceUsage() }.add(job.spec.placementClass)
    }

    private fun removeAttempt(attempt: Attempt) {
        attempt.job.recordEnd(attempt.id.task.index)
        attemptsByMachine[attempt.machine]?.let {
            it.remove(attempt.id)
            if (it.isEmpty()) attemptsByMachine.remove(attempt.machine)
        }
        usageByMachine[attempt.machine]?.let {
            it.remove(attempt.job.spec.placementClass)
            if (it.tasks == 0) usageByMachine.remove(attempt.machine)
        }
        usageByTeam[attempt.job.spec.team]?.remove(attempt.job.spec.placementClass)
    }
}
