package cleathitch.scheduler.requests

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.FinalState
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.Team

/** Handles what users ask: submissions, polls and cancellations. Nothing is told before the record behind it is committed. */
internal class JobRequests(
    private val context: SchedulerContext,
    private val jobTable: JobTable,
    private val decisionLog: DecisionLog,
    private val fleet: Inventory,
    private val quota: Quota,
    private val teams: Map<String, Team>,
    private val intakeMs: Long,
    /** Sends the stops of attempts as soon as a record is committed. */
    private val stopAfter: (LogIndex, Collection<Attempt>) -> Unit,
) {
    private class Gate(val seq: LogIndex, val answer: Effect.Answer, val giveUpMs: Long)

    private val gates = ArrayList<Gate>()

    /** Gives the answers whose records are committed by now. */
    fun committed() {
        val (open, rest) = gates.partition { it.seq <= decisionLog.committedIndex }
        gates.clear()
        gates += rest
        open.forEach { context.emit(it.answer) }
    }

    private fun gate(seq: LogIndex, answer: Effect.Answer) {
        if (seq <= decisionLog.committedIndex) context.emit(answer) else gates += Gate(seq, answer, context.now.steadyMs + intakeMs)
    }

    fun expire() {
        val late = gates.filter { it.giveUpMs <= context.now.steadyMs }
        if (late.isEmpty()) return
        gates.removeAll(late.toSet())
        late.forEach { answer(it.answer.request, UserReply.Unavailable("the state service is slow")) }
    }

    private fun answer(request: RequestId, reply: UserReply) {
        context.emit(Effect.Answer(request, reply))
    }

    /** An end that was told can't be taken back, so the log keeps why it could be told. */
    private fun logFinalState(id: JobId, state: JobState, source: String) {
        if (state != JobState.DONE && state != JobState.CANCELLED) return
        context.logEvent(LogLevel.DEBUG) {
            "job $id may be called $state: $source; records up to ${decisionLog.committedIndex} are committed"
        }
    }

    fun submit(command: Input.Submit) {
        val (request, spec) = command
        if (!context.isLeaseHeld()) return answer(request, UserReply.Unavailable("no lease"))
        jobTable.finalState(spec.id)?.let { return answer(request, UserReply.Accepted(spec.id, shown(it), known = true)) }
        jobTable.job(spec.id)?.let { job ->
            return gate(job.acceptedSeq, Effect.Answer(request, UserReply.Accepted(job.id, shownState(job), known = true)))
        }
        if (fleet.types.isEmpty()) return answer(request, UserReply.Unavailable("machine types aren't known yet"))
        neverRuns(spec)?.let { return answer(request, UserReply.Unsatisfiable(it)) }
        if (context.isStalled()) return answer(request, UserReply.Unavailable("the state service doesn't answer"))
        val seq = context.append(Event.JobAccepted(spec, context.now.wallMs))
        context.logEvent(LogLevel.DEBUG) { "job ${spec.id} class ${spec.className} team ${spec.team}: ${spec.tasks} tasks taken in" }
        gate(seq, Effect.Answer(request, UserReply.Accepted(spec.id, JobState.QUEUED, known = false)))
    }

    private fun neverRuns(spec: JobSpec): String? {
        if (spec.team !in teams) return "unknown team"
        val shape = spec.placementClass
        val fits = fleet.types.values.any { type ->
            type.canHold(shape) && type.zones.any { shape.permits(Offer(type.name, it, spot = false)) }
        }
        if (!fits) return "no allowed machine type holds a task"
        if (!quota.everAllows(spec)) return "more than the team's limit"
        return null
    }

    fun poll(command: Input.Poll) {
        val (request, id) = command
        if (!context.isLeaseHeld()) return answer(request, UserReply.Unavailable("no lease"))
        val acceptedSeq = jobTable.job(id)?.acceptedSeq ?: LogIndex.NONE
        gate(acceptedSeq, Effect.Answer(request, status(id)))
    }

    /** The job's status if it can be told at once; a poll of many that share an answer must not wait for a commit. */
    fun currentStatus(id: JobId): UserReply {
        if (!context.isLeaseHeld()) return UserReply.Unavailable("no lease")
        val acceptedSeq = jobTable.job(id)?.acceptedSeq ?: LogIndex.NONE
        return if (acceptedSeq <= decisionLog.committedIndex) status(id) else UserReply.Unavailable("the job isn't recorded yet")
    }

    private fun status(id: JobId): UserReply {
        jobTable.finalState(id)?.let {
            logFinalState(id, shown(it), "archived")
            return UserReply.Status(id, shown(it), 0, 0)
        }
        val job = jobTable.job(id) ?: return UserReply.NotFound
        val running = job.liveAttempts.values.count { it.observedState == TaskState.RUNNING }
        val state = shownState(job)
        logFinalState(id, state, "record ${job.cancelledSeq ?: job.finishedSeq}")
        return UserReply.Status(id, state, job.doneCount, running)
    }

    fun abort(command: Input.Cancel) {
        val (request, id) = command
        if (!context.isLeaseHeld()) return answer(request, UserReply.Unavailable("no lease"))
        jobTable.finalState(id)?.let { return answer(request, UserReply.Cancelled(id, shown(it))) }
        val job = jobTable.job(id) ?: return answer(request, UserReply.NotFound)
        if (!job.isOver) {
            if (context.isStalled()) return answer(request, UserReply.Unavailable("the state service doesn't answer"))
            val seq = context.append(Event.JobCancelled(id))
            job.stopIfOver()
            stopAfter(seq, job.liveAttempts.values)
            context.logEvent(LogLevel.DEBUG) { "job $id cancelled" }
        }
        val state = if (job.isCancelled) JobState.CANCELLED else JobState.DONE
        val record = job.cancelledSeq ?: job.finishedSeq!!
        logFinalState(id, state, "once record $record is committed")
        gate(record, Effect.Answer(request, UserReply.Cancelled(id, state)))
    }

    private fun shown(state: FinalState) = when (state) {
        FinalState.DONE -> JobState.DONE
        FinalState.CANCELLED -> JobState.CANCELLED
    }

    /** What may be told: an end that isn't committed yet isn't told. */
    private fun shownState(job: Job): JobState {
        job.cancelledSeq?.let { if (it <= decisionLog.committedIndex) return JobState.CANCELLED }
        job.finishedSeq?.let { if (it <= decisionLog.committedIndex) return JobState.DONE }
        return if (job.liveAttempts.values.any { it.observedState == TaskState.RUNNING }) JobState.RUNNING else JobState.QUEUED
    }
}
