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
 * Handles user requests: submissions, polls and cancellations. A reply is sent only after the record that it depends on is committed,
 * so that the next leader can't contradict it. A request whose commit takes too long is answered as unavailable.
 */
internal class JobRequests(
    private val context: SchedulerContext,
    private val jobTable: JobTable,
    private val decisionLog: DecisionLog,
    private val inventory: Inventory,
    private val quota: Quota,
    private val teams: Map<String, Team>,
    private val maxCommitWaitMs: Long,
    /** Sends stop commands for the attempts once the record is committed. */
    private val stopOnceCommitted: (LogIndex, Collection<Attempt>) -> Unit,
) {
    /** A reply that waits for [record] to be committed, until [expiresMs] of the monotonic clock. */
    private class PendingReply(val record: LogIndex, val answer: Effect.Answer, val expiresMs: Long)

    private val pendingReplies = ArrayList<PendingReply>()

    /**
     * Accepts a job. Submissions are idempotent: a submission with a known job id is answered with the state of that job, even if the
     * submitted spec differs.
     */
    fun submit(submission: Input.Submit) {
        val (request, spec) = submission
        val archived = jobTable.finalState(spec.id)
        val job = jobTable.job(spec.id)
        when {
            !context.isLeaseHeld() -> answer(request, UserReply.Unavailable("the leader does not hold a valid lease"))
            archived != null -> answer(request, UserReply.Accepted(spec.id, jobState(archived), known = true))
            job != null -> answerAfter(job.acceptedIndex, request, UserReply.Accepted(job.id, committedState(job), known = true))
            else -> submitNew(request, spec)
        }
    }

    private fun submitNew(request: RequestId, spec: JobSpec) {
        val unsatisfiableReason = unsatisfiableReason(spec)
        when {
            inventory.types.isEmpty() -> answer(request, UserReply.Unavailable("machine types aren't known yet"))
            unsatisfiableReason != null -> answer(request, UserReply.Unsatisfiable(unsatisfiableReason))
            context.isCommitStalled() -> answer(request, UserReply.Unavailable("the key-value store doesn't answer"))
            else -> accept(request, spec)
        }
    }

    private fun accept(request: RequestId, submitted: JobSpec) {
        val spec = storableSpec(submitted)
        val accepted = Event.JobAccepted(spec, context.now.wallMs)
        val excessBytes = decisionLog.excessBytes(accepted)
        if (excessBytes > 0) return refuseOversized(request, spec.id, excessBytes)
        val record = context.append(accepted)
        context.logEvent(LogLevel.DEBUG) {
            "event=job_accepted job=${spec.id} class=${spec.className} team=${spec.team} tasks=${spec.tasks}"
        }
        answerAfter(record, request, UserReply.Accepted(spec.id, JobState.QUEUED, known = false))
    }

    /**
     * The spec to store. A list of allowed machine types may be longer than a record; what the cloud provider doesn't offer is then
     * left out, because it can't be rented anyway.
     */
    private fun storableSpec(spec: JobSpec): JobSpec {
        val allowedTypes = spec.allowedTypes ?: return spec
        if (decisionLog.excessBytes(Event.JobAccepted(spec, context.now.wallMs)) == 0) return spec
        return spec.copy(allowedTypes = allowedTypes intersect inventory.types.keys)
    }

    private fun refuseOversized(request: RequestId, id: JobId, excessBytes: Int) {
        context.logEvent(LogLevel.ERROR) { "event=submission_too_large job=$id excess_bytes=$excessBytes" }
        answer(request, UserReply.Unsatisfiable("the names in the submission are $excessBytes bytes too long to be stored"))
    }

    /** The reason why the job can never be scheduled, as shown to the user; null if there is none. */
    private fun unsatisfiableReason(spec: JobSpec): String? = when {
        spec.team !in teams -> "unknown team ${spec.team}"
        !fitsSomeMachineType(spec) -> "no allowed machine type fits a task: vcpus=${spec.cpus} gpus=${spec.gpus} memoryGb=${spec.memoryGb}"
        !quota.isSatisfiable(spec) -> "the job exceeds the quota limit of team ${spec.team}"
        else -> null
    }

    private fun fitsSomeMachineType(spec: JobSpec): Boolean {
        val placementClass = spec.placementClass
        return inventory.types.values.any { type ->
            type.fits(placementClass) && type.zones.any { placementClass.permits(Offer(type.name, it, spot = false)) }
        }
    }

    /** Answers with the job's status once the job's acceptance is committed. */
    fun poll(poll: Input.Poll) {
        val (request, id) = poll
        if (!context.isLeaseHeld()) return answer(request, UserReply.Unavailable("the leader does not hold a valid lease"))
        answerAfter(acceptanceRecord(id), request, status(id))
    }

    /**
     * The reply to a poll that was forwarded in a batch. The polls of a batch share one answer, which must not wait for the commit of a
     * single job. A job whose acceptance isn't committed yet is therefore reported as unavailable immediately.
     */
    fun currentStatus(id: JobId): UserReply {
        if (!context.isLeaseHeld()) return UserReply.Unavailable("the leader does not hold a valid lease")
        val isCommitted = acceptanceRecord(id) <= decisionLog.committedIndex
        return if (isCommitted) status(id) else UserReply.Unavailable("the acceptance of job $id isn't committed yet")
    }

    /** The record that contains the job's acceptance; [LogIndex.NONE] for a job that is archived or unknown. */
    private fun acceptanceRecord(id: JobId): LogIndex = jobTable.job(id)?.acceptedIndex ?: LogIndex.NONE

    private fun status(id: JobId): UserReply {
        jobTable.finalState(id)?.let {
            logFinalState(id, jobState(it), record = null)
            return UserReply.Status(id, jobState(it), 0, 0)
        }
        val job = jobTable.job(id) ?: return UserReply.NotFound
        val running = job.liveAttempts.values.count { it.observedState == TaskState.RUNNING }
        val state = committedState(job)
        logFinalState(id, state, job.cancelledIndex ?: job.completedIndex)
        return UserReply.Status(id, state, job.completedCount, running)
    }

    /** Cancels a job. A job that already is in a terminal state keeps that state, and the reply contains it. */
    fun cancel(cancellation: Input.Cancel) {
        val (request, id) = cancellation
        val archived = jobTable.finalState(id)
        val job = jobTable.job(id)
        when {
            !context.isLeaseHeld() -> answer(request, UserReply.Unavailable("the leader does not hold a valid lease"))
            archived != null -> answer(request, UserReply.Cancelled(id, jobState(archived)))
            job == null -> answer(request, UserReply.NotFound)
            !job.isTerminal && context.isCommitStalled() -> answer(request, UserReply.Unavailable("the key-value store doesn't answer"))
            else -> cancel(request, job)
        }
    }

    private fun cancel(request: RequestId, job: Job) {
        if (!job.isTerminal) recordCancellation(job)
        val state = if (job.isCancelled) JobState.CANCELLED else JobState.DONE
        val record = checkNotNull(job.cancelledIndex ?: job.completedIndex) {
            "terminal job ${job.id} has neither a cancellation nor a completion record"
        }
        logFinalState(job.id, state, record)
        answerAfter(record, request, UserReply.Cancelled(job.id, state))
    }

    private fun recordCancellation(job: Job) {
        val record = context.append(Event.JobCancelled(job.id))
        job.stopIfTerminal()
        stopOnceCommitted(record, job.liveAttempts.values)
        context.logEvent(LogLevel.DEBUG) { "event=job_cancelled job=${job.id}" }
    }

    /** Sends the pending replies whose records are committed. */
    fun sendCommittedReplies() {
        val (ready, waiting) = pendingReplies.partition { it.record <= decisionLog.committedIndex }
        pendingReplies.clear()
        pendingReplies += waiting
        ready.forEach { context.emit(it.answer) }
    }

    /** Answers requests whose commits take too long as unavailable; users may retry them. */
    fun expirePendingReplies() {
        val expired = pendingReplies.filter { it.expiresMs <= context.now.monotonicMs }
        if (expired.isEmpty()) return
        pendingReplies.removeAll(expired.toSet())
        expired.forEach { answer(it.answer.request, UserReply.Unavailable("not committed within $maxCommitWaitMs ms")) }
    }

    private fun answer(request: RequestId, reply: UserReply) {
        context.emit(Effect.Answer(request, reply))
    }

    private fun answerAfter(record: LogIndex, request: RequestId, reply: UserReply) {
        if (record <= decisionLog.committedIndex) return answer(request, reply)
        pendingReplies += PendingReply(record, Effect.Answer(request, reply), context.now.monotonicMs + maxCommitWaitMs)
    }

    /**
     * Logs the [state] in a reply if it is final, because a final state can't be retracted once a user has seen it. [record] is the
     * record that establishes the state, null for an archived job; the reply is sent only once that record is committed.
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

    /** The job's state as visible to users: a terminal state is visible only once its record is committed. */
    private fun committedState(job: Job): JobState {
        job.cancelledIndex?.let { if (it <= decisionLog.committedIndex) return JobState.CANCELLED }
        job.completedIndex?.let { if (it <= decisionLog.committedIndex) return JobState.DONE }
        return if (job.liveAttempts.values.any { it.observedState == TaskState.RUNNING }) JobState.RUNNING else JobState.QUEUED
    }
}
