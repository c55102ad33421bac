package cleathitch.scheduler.jobs

import cleathitch.scheduler.log.CompactedJob
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.FinalState
import cleathitch.scheduler.log.FinishedJobsSnapshot
import cleathitch.scheduler.log.JobSnapshot
import cleathitch.scheduler.log.LiveAttempt
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.LoggedJobs
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskId
import java.util.BitSet

/** All jobs, what is done of them and what may still be running; a function of the events applied. */
class JobTable : LoggedJobs {
    private val open = LinkedHashMap<JobId, Job>()
    private val finals = HashMap<JobId, FinalState>()
    private val onMachine = HashMap<MachineId, LinkedHashMap<AttemptId, Attempt>>()
    private val machineLoad = HashMap<MachineId, ResourceUsage>()
    private val teamLoad = HashMap<String, ResourceUsage>()

    /** Jobs that aren't over, or of which something may still run. */
    val jobs: Collection<Job> get() = open.values

    fun job(id: JobId): Job? = open[id]
    fun finalState(id: JobId): FinalState? = finals[id]
    fun attemptsOn(machine: MachineId): Collection<Attempt> = onMachine[machine]?.values.orEmpty()
    fun attempt(id: AttemptId): Attempt? = open[id.task.job]?.live?.get(id.task.index)?.takeIf { it.id == id }
    fun loadOf(machine: MachineId): ResourceUsage? = machineLoad[machine]
    fun loadOfTeam(team: String): ResourceUsage? = teamLoad[team]
    val machinesInUse: Set<MachineId> get() = onMachine.keys

    fun apply(event: Event.JobEvent, seq: LogIndex) {
        when (event) {
            is Event.JobAccepted -> open.getOrPut(event.job) { Job(event.spec, event.acceptedAtWallMs, seq) }
            is Event.JobCancelled -> open[event.job]?.let { if (!it.over) it.cancelledSeq = seq }
            is Event.AttemptStarted -> open[event.job]?.let {
                addAttempt(Attempt(AttemptId(TaskId(event.job, event.taskIndex), event.number), it, event.machine, seq))
            }
            is Event.AttemptTerminated -> open[event.job]?.live?.get(event.taskIndex)
                ?.takeIf { it.id.number == event.number }?.let(::removeAttempt)
            is Event.TaskCompleted -> open[event.job]?.let { job ->
                job.taskDone(event.taskIndex, seq)
                job.live[event.taskIndex]?.takeIf { it.id.number == event.number }?.let(::removeAttempt)
            }
        }
    }

    fun restore(cell: JobSnapshot) {
        val seq = cell.lastIncludedIndex
        val job = Job(cell.spec, cell.acceptedAtWallMs, seq)
        job.restoreDone(BitSet.valueOf(cell.completedTasks))
        if (cell.isCancelled) job.cancelledSeq = seq
        job.lastNumber = cell.lastAttemptNumber
        open[job.id] = job
        cell.liveAttempts.forEach {
            addAttempt(Attempt(AttemptId(TaskId(job.id, it.taskIndex), it.number), job, it.machine, seq))
        }
    }

    fun restore(cell: FinishedJobsSnapshot) {
        cell.completed.forEach { finals[it] = FinalState.DONE }
        cell.cancelled.forEach { finals[it] = FinalState.CANCELLED }
    }

    override fun isStartUnobserved(attempt: AttemptId): Boolean = attempt(attempt)?.let { it.seen == null } ?: false

    override fun compact(id: JobId, lastIncludedIndex: LogIndex): CompactedJob {
        val job = open[id] ?: return CompactedJob.Archived
        if (isArchivable(job)) return CompactedJob.Finished(id, finalStateOf(job))
        return CompactedJob.Open(snapshotOf(job, lastIncludedIndex))
    }

    override fun archive(id: JobId) {
        val job = checkNotNull(open[id]) { "job $id is archived already" }
        check(isArchivable(job)) { "job $id isn't over" }
        finals[id] = finalStateOf(job)
        open.remove(id)
    }

    private fun isArchivable(job: Job) = job.over && job.live.isEmpty()
    private fun finalStateOf(job: Job) = if (job.cancelled) FinalState.CANCELLED else FinalState.DONE

    private fun snapshotOf(job: Job, lastIncludedIndex: LogIndex) = JobSnapshot(
        lastIncludedIndex,
        job.spec,
        job.wallMs,
        job.cancelled,
        job.done.toByteArray(),
        job.live.values.map { LiveAttempt(it.id.task.index, it.id.number, it.machine) },
        job.lastNumber,
    )

    private fun addAttempt(attempt: Attempt) {
        val job = attempt.job
        check(attempt.id.task.index !in job.live) { "${attempt.id.task} is live already" }
        job.started(attempt)
        onMachine.getOrPut(attempt.machine) { LinkedHashMap() }[attempt.id] = attempt
        machineLoad.getOrPut(attempt.machine) { ResourceUsage() }.add(job.spec, 1)
        teamLoad.getOrPut(job.spec.team) { ResourceUsage() }.add(job.spec, 1)
    }

    private fun removeAttempt(attempt: Attempt) {
        attempt.job.ended(attempt.id.task.index)
        onMachine[attempt.machine]?.let {
            it.remove(attempt.id)
            if (it.isEmpty()) onMachine.remove(attempt.machine)
        }
        machineLoad[attempt.machine]?.let {
            it.add(attempt.job.spec, -1)
            if (it.tasks == 0) machineLoad.remove(attempt.machine)
        }
        teamLoad[attempt.job.spec.team]?.add(attempt.job.spec, -1)
    }
}
