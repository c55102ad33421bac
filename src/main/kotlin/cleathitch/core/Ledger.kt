package cleathitch.core

import java.util.BitSet
import java.util.TreeSet

/** Why a running attempt is to be stopped. */
enum class StopCause { CANCELLED, DRAIN, PREEMPTED, STRAY }

/**
 * A start that was decided and of which nobody has shown yet that it is over. While it stands, the
 * task counts in quota, spread and room, and is started nowhere else.
 */
class Attempt(val id: AttemptId, val job: Job, val machine: MachineId, val startSeq: Seq) {
    /** What the machine's newest report says, null while it shows nothing. */
    var seen: TaskState? = null
    var seenAtMs: Long? = null

    /** The version of the last message that carried the start, null while none was sent by this leader. */
    var sent: OrderVersion? = null

    /** The machine's session for which this leader last sent the start. */
    var sentSession = 0L

    /** The version up to which an order of an earlier term may still be on its way. */
    var inherited: OrderVersion? = null
    var stop: StopCause? = null
    var stopSentAtMs: Long? = null
    var runningSinceMs: Long? = null

    /** Any start on its way bears this version at most; null: surely none was ever sent. */
    val newestStart: OrderVersion? get() = sent ?: inherited
}

class Job(val spec: JobSpec, val wallMs: Long, val acceptedSeq: Seq) {
    val id get() = spec.id
    val done = BitSet()
    var doneCount = 0
        private set
    val live = LinkedHashMap<Int, Attempt>()
    var lastNumber = 0L
    var cancelledSeq: Seq? = null
    var finishedSeq: Seq? = null

    /** How many parts of the job's cell stand in the state service. */
    var partsWritten = 0

    /** Tasks that failed by themselves since the last that didn't, and when the job may be tried again. */
    var failures = 0
    var notBeforeMs = 0L

    private var fresh = 0
    private val again = TreeSet<Int>()

    val cancelled get() = cancelledSeq != null
    val over get() = cancelled || finishedSeq != null
    val waiting get() = if (over) 0 else spec.tasks - doneCount - live.size

    fun nextWaiting(): Int? {
        if (over) return null
        again.firstOrNull()?.let { return it }
        while (fresh < spec.tasks && (done[fresh] || fresh in live)) fresh++
        return fresh.takeIf { it < spec.tasks }
    }

    /** Of a job that is over nothing goes on. */
    fun stopIfOver() {
        if (over) live.values.forEach { it.stop = StopCause.CANCELLED }
    }

    internal fun started(attempt: Attempt) {
        val index = attempt.id.task.index
        live[index] = attempt
        again.remove(index)
        lastNumber = maxOf(lastNumber, attempt.id.number)
    }

    internal fun ended(index: Int) {
        live.remove(index)
        if (!done[index]) again.add(index)
    }

    internal fun taskDone(index: Int, seq: Seq) {
        if (done[index]) return
        done.set(index)
        doneCount++
        again.remove(index)
        if (doneCount == spec.tasks && !cancelled) finishedSeq = seq
    }

    internal fun restoreDone(bits: BitSet) {
        done.or(bits)
        doneCount = done.cardinality()
        if (doneCount == spec.tasks) finishedSeq = Seq.NONE
    }
}

class Load {
    var cpus = 0.0
    var gpus = 0.0
    var memoryGb = 0.0
    var tasks = 0

    fun add(spec: JobSpec, sign: Int) {
        tasks += sign
        if (tasks == 0) {
            // rounding must not pile up over days
            cpus = 0.0
            gpus = 0.0
            memoryGb = 0.0
        } else {
            cpus += sign * spec.cpus
            gpus += sign * spec.gpus
            memoryGb += sign * spec.memoryGb
        }
    }
}

/** All jobs, what is done of them and what may still be running; a function of the events applied. */
class Ledger {
    private val open = LinkedHashMap<JobId, Job>()
    private val finals = HashMap<JobId, FinalState>()
    private val onMachine = HashMap<MachineId, LinkedHashMap<AttemptId, Attempt>>()
    private val machineLoad = HashMap<MachineId, Load>()
    private val teamLoad = HashMap<String, Load>()

    /** Jobs that aren't over, or of which something may still run. */
    val jobs: Collection<Job> get() = open.values

    fun job(id: JobId): Job? = open[id]
    fun finalState(id: JobId): FinalState? = finals[id]
    fun attemptsOn(machine: MachineId): Collection<Attempt> = onMachine[machine]?.values.orEmpty()
    fun attempt(id: AttemptId): Attempt? = open[id.task.job]?.live?.get(id.task.index)?.takeIf { it.id == id }
    fun loadOf(machine: MachineId): Load? = machineLoad[machine]
    fun loadOfTeam(team: String): Load? = teamLoad[team]
    val machinesInUse: Set<MachineId> get() = onMachine.keys

    fun apply(event: Event.OfJob, seq: Seq) {
        when (event) {
            is Event.JobAccepted -> open.getOrPut(event.job) { Job(event.spec, event.wallMs, seq) }
            is Event.JobCancelled -> open[event.job]?.let { if (!it.over) it.cancelledSeq = seq }
            is Event.AttemptStarted -> open[event.job]?.let {
                addAttempt(Attempt(AttemptId(TaskId(event.job, event.index), event.number), it, event.machine, seq))
            }
            is Event.AttemptOver -> open[event.job]?.live?.get(event.index)
                ?.takeIf { it.id.number == event.number }?.let(::removeAttempt)
            is Event.TaskDone -> open[event.job]?.let { job ->
                job.taskDone(event.index, seq)
                job.live[event.index]?.takeIf { it.id.number == event.number }?.let(::removeAttempt)
            }
        }
    }

    fun restore(cell: JobCell) {
        val seq = Seq(cell.upTo)
        val job = Job(cell.spec, cell.wallMs, seq)
        job.restoreDone(BitSet.valueOf(cell.done))
        if (cell.cancelled) job.cancelledSeq = seq
        job.lastNumber = cell.lastNumber
        open[job.id] = job
        cell.live.forEach {
            addAttempt(Attempt(AttemptId(TaskId(job.id, it.index), it.number), job, it.machine, seq))
        }
    }

    fun restore(cell: FinalsCell) {
        cell.done.forEach { finals[it] = FinalState.DONE }
        cell.cancelled.forEach { finals[it] = FinalState.CANCELLED }
    }

    /** Forgets everything of a job that is over but its final state. */
    fun archive(job: Job) {
        check(job.over && job.live.isEmpty()) { "job ${job.id} isn't over" }
        finals[job.id] = if (job.cancelled) FinalState.CANCELLED else FinalState.DONE
        open.remove(job.id)
    }

    fun cellOf(job: Job, upTo: Seq) = JobCell(
        upTo.number,
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
        machineLoad.getOrPut(attempt.machine) { Load() }.add(job.spec, 1)
        teamLoad.getOrPut(job.spec.team) { Load() }.add(job.spec, 1)
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
