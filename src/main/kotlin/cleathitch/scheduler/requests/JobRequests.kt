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

/**
 * The users' requests: submissions, polls and cancellations. No reply leaves before the record behind it is committed, so
 * that the next leader can't contradict it; a request whose commit takes too long is answered as unavailable.
 */
internal class JobRequests(
    private val context: SchedulerContext,
    private val jobTable: JobTable,
    private val decisionLog: DecisionLog,
    private val inventory: Inventory,
    private val quota: Quota,
    private val teams: Map<String, Team>,
    private val maxCommitWaitMs: Long,
    /** Sends the stops of attempts as soon as a record is committed. */
    private val stopAfter: (LogIndex, Collection<Attempt>) -> Unit,
) {
    /** A reply that may go out once [record] is committed, up to [expiresMs]. */
    private class PendingReply(val record: LogIndex, val answer: Effect.Answer, val expiresMs: Long)

    private val pendingReplies = ArrayList<PendingReply>()

    /** Accepts a job. Repeated submissions are idempotent: they are answered with the state of the job accepted first. */
    fun submit(submission: Input.Submit) {
        val (request, spec) = submission
        val archived = jobTable.finalState(spec.id)
        val job = jobTable.job(spec.id)
        when {
            !context.isLeaseHeld() -> answer(request, UserReply.Unavailable("no lease"))
            archived != null -> answer(request, UserReply.Accepted(spec.id, jobState(archived), known = true))
            job != null -> answerAfter(job.acceptedIndex, request, UserReply.Accepted(job.id, committedState(job), known = true))
            else -> submitNew(request, spec)
        }
    }

    private fun submitNew(request: RequestId, spec: JobSpec) {
        val obstacle = whyUnsatisfiable(spec)
        when {
            inventory.types.isEmpty() -> answer(request, UserReply.Unavailable("machine types aren't known yet"))
            obstacle != null -> answer(request, UserReply.Unsatisfiable(obstacle))
            context.isStalled() -> answer(request, UserReply.Unavailable("the state service doesn't answer"))
            else -> accept(request, spec)
        }
    }

    private fun accept(request: RequestId, spec: JobSpec) {
        val record = context.append(Event.JobAccepted(spec, context.now.wallMs))
        context.logEvent(LogLevel.DEBUG) {
            "event=job_accepted job=${spec.id} class=${spec.className} team=${spec.team} tasks=${spec.tasks}"
        }
        answerAfter(record, request, UserReply.Accepted(spec.id, JobState.QUEUED, known = false))
    }

    /** Why no task of the job could ever start, as a text for the user; null if it could. */
    private fun whyUnsatisfiable(spec: JobSpec): String? = when {
        spec.team !in teams -> "unknown team"
        !isHeldBySomeType(spec) -> "no allowed machine type holds a task"
        !quota.couldEverAllow(spec) -> "more than the team's limit"
        else -> null
    }

    private fun isHeldBySomeType(spec: JobSpec): Boolean {
        val placementClass = spec.placementClass
        return inventory.types.values.any { type ->
            type.canHold(placementClass) && type.zones.any { placementClass.permits(Offer(type.name, it, spot = false)) }
        }
    }

    fun poll(poll: Input.Poll) {
        val (request, id) = poll
        if (!context.isLeaseHeld()) return answer(request, UserReply.Unavailable("no lease"))
        answerAfter(acceptanceRecord(id), request, status(id))
    }

    /** The reply to a poll if it can be given at once; polls that share an answer mustn't wait for one job's commit. */
    fun currentStatus(id: JobId): UserReply {
        if (!context.isLeaseHeld()) return UserReply.Unavailable("no lease")
        val isRecorded = acceptanceRecord(id) <= decisionLog.committedIndex
        return if (isRecorded) status(id) else UserReply.Unavailable("the job isn't recorded yet")
    }

    /** The record in which the job was accepted; none for a job that is archived or unknown. */
    private fun acceptanceRecord(id: JobId): LogIndex = jobTable.job(id)?.acceptedIndex ?: LogIndex.NONE

    private fun status(id: JobId): UserReply {
        jobTable.finalState(id)?.let {
            logFinalState(id, jobState(it), record = null)
            return UserReply.Status(id, jobState(it), 0, 0)
        }
        val job = jobTable.job(id) ?: return UserReply.NotFound
        val running = job.liveAttempts.values.count { it.observedState == TaskState.RUNNING }
        val state = committedState(job)
        logFinalState(id, state, job.cancelledIndex ?: job.finishedIndex)
        return UserReply.Status(id, state, job.doneCount, running)
    }

    /** Cancels a job; one that is over already keeps its final state, which the reply tells. */
    fun cancel(cancellation: Input.Cancel) {
        val (request, id) = cancellation
        val archived = jobTable.finalState(id)
        val job = jobTable.job(id)
        when {
            !context.isLeaseHeld() -> answer(request, UserReply.Unavailable("no lease"))
            archived != null -> answer(request, UserReply.Cancelled(id, jobState(archived)))
            job == null -> answer(request, UserReply.NotFound)
            !job.isOver && context.isStalled() -> answer(request, UserReply.Unavailable("the state service doesn't answer"))
            else -> cancel(request, job)
        }
    }

    private fun cancel(request: RequestId, job: Job) {
        if (!job.isOver) recordCancellation(job)
        val state = if (job.isCancelled) JobState.CANCELLED else JobState.DONE
        val record = checkNotNull(job.cancelledIndex ?: job.finishedIndex) { "job ${job.id} is over without a record of its end" }
        logFinalState(job.id, state, record)
        answerAfter(record, request, UserReply.Cancelled(job.id, state))
    }

    private fun recordCancellation(job: Job) {
        val record = context.append(Event.JobCancelled(job.id))
        job.stopIfOver()
        stopAfter(record, job.liveAttempts.values)
        context.logEvent(LogLevel.DEBUG) { "event=job_cancelled job=${job.id}" }
    }

    /** Sends the replies whose records are committed by now. */
    fun answerCommitted() {
        val (ready, waiting) = pendingReplies.partition { it.record <= decisionLog.committedIndex }
        pendingReplies.clear()
        pendingReplies += waiting
        ready.forEach { context.emit(it.answer) }
    }

    /** Gives up on replies that wait too long for their commits; their users may ask again. */
    fun expire() {
        val expired = pendingReplies.filter { it.expiresMs <= context.now.steadyMs }
        if (expired.isEmpty()) return
        pendingReplies.removeAll(expired.toSet())
        expired.forEach { answer(it.answer.request, UserReply.Unavailable("the state service is slow")) }
    }

    private fun answer(request: RequestId, reply: UserReply) {
        context.emit(Effect.Answer(request, reply))
    }

    private fun answerAfter(record: LogIndex, request: RequestId, reply: UserReply) {
        if (record <= decisionLog.committedIndex) return answer(request, reply)
        pendingReplies += PendingReply(record, Effect.Answer(request, reply), context.now.steadyMs + maxCommitWaitMs)
    }

    /**
     * A reported final state can't be taken back, so the log line names the [record] behind it, null for an archived job. A record
     * beyond the committed index holds the reply back until it is committed.
     */
    private fun logFinalState(id: JobId, state: JobState, record: LogIndex?) {
        if (state != JobState.DONE && state != JobState.CANCELLED) return
        context.logEvent(LogLevel.DEBUG) {
            "event=final_state_reported job=$id state=$state record=${record?.number ?: "archived"} " +
                "committed=${decisionLog.committedIndex.number}"
        }
    }

    private fun jobState(state: FinalState) = when (state) {
        FinalState.DONE -> JobState.DONE
        FinalState.CANCELLED -> JobState.CANCELLED
    }

    /** The state that users may be told: an end counts only once its record is committed. */
    private fun committedState(job: Job): JobState {
        job.cancelledIndex?.let { if (it <= decisionLog.committedIndex) return JobState.CANCELLED }
        job.finishedIndex?.let { if (it <= decisionLog.committedIndex) return JobState.DONE }
        return if (job.liveAttempts.values.any { it.observedState == TaskState.RUNNING }) JobState.RUNNING else JobState.QUEUED
    }
}
