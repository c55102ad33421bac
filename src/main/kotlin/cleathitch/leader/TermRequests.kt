package cleathitch.leader

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.RequestId

/**
 * The requests of users, workers and followers during one term: enqueues them in [queue] and keeps track of those that await the
 * scheduler's answer. Confined to the event loop.
 *
 * [wakeUp] makes [LeaderTerm.run] process the queue; [monotonicMs] is the monotonic clock.
 */
class TermRequests internal constructor(private val queue: InputQueue, monotonicMs: () -> Long, private val wakeUp: () -> Unit) {
    internal val userRequests = PendingRequests<UserReply>(monotonicMs)
    internal val heartbeats = PendingRequests<Effect.AnswerHeartbeat>(monotonicMs)
    internal val followerBatches = PendingRequests<Effect.AnswerFollower>(monotonicMs)
    private var lastRequest = 0L

    /** Whether requests are accepted, which is from the end of the log replay to the end of the term. */
    var isOpen = false
        private set

    /** The scheduler's average time per input in its last batch. */
    private var lastBatchMsPerInput = 0.0

    /** Submits a job; submitting it again has no effect, and the reply contains the job's current state. */
    suspend fun submit(spec: JobSpec): UserReply = awaitUserReply { Input.Submit(it, spec) }

    /** Queries the state of a job. */
    suspend fun poll(job: JobId): UserReply = awaitUserReply { Input.Poll(it, job) }

    /** Cancels a job. */
    suspend fun cancel(job: JobId): UserReply = awaitUserReply { Input.Cancel(it, job) }

    /** Passes a worker's heartbeat to the scheduler. If the heartbeat is not answered, the worker's lease must not be renewed. */
    suspend fun heartbeat(heartbeat: Heartbeat): RequestOutcome<Effect.AnswerHeartbeat> =
        await(heartbeats) { Input.HeartbeatReceived(it, heartbeat) }

    /** Passes the heartbeats and polls of a follower's batch to the scheduler, and returns the answers to them. */
    suspend fun followerBatch(heartbeats: List<ForwardedHeartbeat>, polls: List<JobId>): RequestOutcome<Effect.AnswerFollower> =
        await(followerBatches) { Input.FollowerBatchReceived(it, heartbeats, polls) }

    /**
     * Whether the sender of [input] still awaits an answer; always true if [input] is not a request. Under overload, handling
     * requests that nobody awaits any longer would only delay the others.
     */
    internal fun isAwaited(input: Input) = when (input) {
        is Input.Submit -> input.request in userRequests
        is Input.Poll -> input.request in userRequests
        is Input.Cancel -> input.request in userRequests
        is Input.HeartbeatReceived -> input.request in heartbeats
        is Input.FollowerBatchReceived -> input.request in followerBatches
        else -> true
    }

    /** Starts accepting requests; called once the log has been replayed. */
    internal fun open() {
        isOpen = true
    }

    /** Ends all pending requests and accepts no more; called at the end of the term. */
    internal fun close() {
        isOpen = false
        userRequests.endAll()
        heartbeats.endAll()
        followerBatches.endAll()
    }

    /** Times out the requests that the scheduler has not answered within [REQUEST_TIMEOUT_MS]. */
    internal fun expire() {
        userRequests.expire(REQUEST_TIMEOUT_MS)
        heartbeats.expire(REQUEST_TIMEOUT_MS)
        followerBatches.expire(REQUEST_TIMEOUT_MS)
    }

    /** Records that the scheduler handled a batch of [inputs] inputs in [durationMs]. */
    internal fun recordBatch(inputs: Int, durationMs: Double) {
        lastBatchMsPerInput = durationMs / inputs
    }

    private suspend fun awaitUserReply(input: (RequestId) -> Input): UserReply = when (val outcome = await(userRequests, input)) {
        is RequestOutcome.Answered -> outcome.answer
        is RequestOutcome.Unanswered -> unavailable(outcome.reason)
    }

    private suspend fun <T> await(pending: PendingRequests<T>, input: (RequestId) -> Input): RequestOutcome<T> {
        if (!isOpen) return RequestOutcome.Unanswered(UnansweredReason.RECOVERING)
        val request = RequestId(++lastRequest)
        if (!queue.offer(input(request))) return RequestOutcome.Unanswered(UnansweredReason.QUEUE_FULL)
        return pending.await(request, onRegistered = wakeUp)
    }

    private fun unavailable(reason: UnansweredReason) = when (reason) {
        UnansweredReason.RECOVERING -> UserReply.Unavailable("the leader is recovering its state")
        UnansweredReason.QUEUE_FULL -> UserReply.Unavailable("too many requests wait", estimatedDrainSeconds())
        UnansweredReason.REFUSED, UnansweredReason.TIMED_OUT, UnansweredReason.TERM_ENDED ->
            UserReply.Unavailable("this controller is no longer the leader")
    }

    /** The estimated time until all queued requests are handled, at the rate of the last batch; the queue has room again by then. */
    private fun estimatedDrainSeconds(): Int =
        (queue.queuedRequests * lastBatchMsPerInput / MS_PER_SECOND).toInt().coerceIn(1, MAX_RETRY_AFTER_S)

    private companion object {
        const val MS_PER_SECOND = 1000

        /** The maximum Retry-After that the protocol allows, in seconds. */
        const val MAX_RETRY_AFTER_S = 30

        /** Longer than the scheduler's own time limit for an answer, so that requests time out here only if the scheduler stalls. */
        const val REQUEST_TIMEOUT_MS = 3000L
    }
}
