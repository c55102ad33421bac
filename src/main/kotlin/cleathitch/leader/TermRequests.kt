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
 * The requests of users, workers and followers during one term: enters them into the [queue] and keeps those that wait
 * for the scheduler's answer. Confined to the event loop.
 *
 * [wakeUp] has the term's loop look at the queue; [steadyMs] is the steady clock.
 */
class TermRequests internal constructor(private val queue: InputQueue, steadyMs: () -> Long, private val wakeUp: () -> Unit) {
    internal val userRequests = PendingRequests<UserReply>(steadyMs)
    internal val heartbeats = PendingRequests<Effect.AnswerHeartbeat>(steadyMs)
    internal val followerBatches = PendingRequests<Effect.AnswerFollower>(steadyMs)
    private var lastRequest = 0L

    /** Whether requests are accepted: from the end of the replay to the end of the term. */
    var isOpen = false
        private set

    /** How long the scheduler took for each input of its last batch. */
    private var lastBatchMsPerInput = 0.0

    /** Accepts a job; a repeated submission is answered like the first. */
    suspend fun submit(spec: JobSpec): UserReply = awaitUserReply { Input.Submit(it, spec) }

    /** The state of a job. */
    suspend fun poll(job: JobId): UserReply = awaitUserReply { Input.Poll(it, job) }

    /** Cancels a job. */
    suspend fun cancel(job: JobId): UserReply = awaitUserReply { Input.Cancel(it, job) }

    /** The answer to a worker's heartbeat; without one, the worker's lease must not be renewed. */
    suspend fun heartbeat(heartbeat: Heartbeat): RequestOutcome<Effect.AnswerHeartbeat> =
        await(heartbeats) { Input.HeartbeatReceived(it, heartbeat) }

    /** The decisions about the heartbeats and polls that a follower forwards. */
    suspend fun followerBatch(heartbeats: List<ForwardedHeartbeat>, polls: List<JobId>): RequestOutcome<Effect.AnswerFollower> =
        await(followerBatches) { Input.FollowerBatchReceived(it, heartbeats, polls) }

    /** Whether anybody still waits for the answer to [input]: under overload, abandoned requests would only delay the rest. */
    internal fun isAwaited(input: Input) = when (input) {
        is Input.Submit -> input.request in userRequests
        is Input.Poll -> input.request in userRequests
        is Input.Cancel -> input.request in userRequests
        is Input.HeartbeatReceived -> input.request in heartbeats
        is Input.FollowerBatchReceived -> input.request in followerBatches
        else -> true
    }

    /** The log is replayed: requests are accepted from now on. */
    internal fun open() {
        isOpen = true
    }

    /** The term is over: ends every pending request, and accepts no more. */
    internal fun close() {
        isOpen = false
        userRequests.endAll()
        heartbeats.endAll()
        followerBatches.endAll()
    }

    /** Ends the requests that the scheduler has left without an answer. */
    internal fun expire() {
        userRequests.expire(REQUEST_TIMEOUT_MS)
        heartbeats.expire(REQUEST_TIMEOUT_MS)
        followerBatches.expire(REQUEST_TIMEOUT_MS)
    }

    /** The scheduler has handled a batch of [inputs], which took [durationMs]. */
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
        UnansweredReason.RECOVERING -> UserReply.Unavailable("taking over")
        UnansweredReason.QUEUE_FULL -> UserReply.Unavailable("too many requests wait", secondsToServeQueue())
        UnansweredReason.REFUSED, UnansweredReason.TIMED_OUT, UnansweredReason.TERM_ENDED ->
            UserReply.Unavailable("not the leader any more")
    }

    /** How long the queued requests take at the pace of the last batch, which is when there will be room again. */
    private fun secondsToServeQueue(): Int =
        (queue.queuedRequests * lastBatchMsPerInput / MS_PER_SECOND).toInt().coerceIn(1, MAX_RETRY_AFTER_S)

    private companion object {
        const val MS_PER_SECOND = 1000

        /** The longest Retry-After that the protocol allows. */
        const val MAX_RETRY_AFTER_S = 30

        /** Longer than the scheduler takes to give up on a request by itself, so that only a stalled scheduler meets it. */
        const val REQUEST_TIMEOUT_MS = 3000L
    }
}
