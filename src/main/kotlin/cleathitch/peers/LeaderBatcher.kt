package cleathitch.peers

import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.workers.ForwardOutcome
import cleathitch.workers.HeartbeatQueue
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * Forwards to the leader, in batches, what this follower receives: workers' heartbeats, users' polls, and the results of commands
 * that it delivered to workers. Only one batch is in flight at a time. Before each, the batcher waits [intervalMs] to collect more,
 * unless enough heartbeats for a full batch are waiting. Confined to the controller's event loop.
 *
 * [leader] returns the leader to send to, or null if none is known; [send] sends one batch to it.
 */
class LeaderBatcher(
    private val intervalMs: Long,
    private val unreachableMs: Long,
    private val nowMs: () -> Long,
    private val leader: () -> KnownLeader?,
    private val send: suspend (KnownLeader, OutgoingBatch, timeoutMs: Long) -> BatchResult,
) {
    private val heartbeats = HeartbeatQueue(HEARTBEAT_TIMEOUT_MS)
    private val polls = PollQueue(POLL_TIMEOUT_MS)
    private val deliveryResults = ArrayDeque<DeliveryResult>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private var lastUnreachableMs: Long? = null

    /** Whether the last batch failed to reach the leader, less than [unreachableMs] ago. */
    val isLeaderUnreachable get() = lastUnreachableMs?.let { nowMs() - it < unreachableMs } == true

    private val isEmpty get() = heartbeats.isEmpty && polls.isEmpty && deliveryResults.isEmpty()

    /** Forwards [heartbeat] and waits for the leader's decision, for a bounded time. */
    suspend fun forwardHeartbeat(heartbeat: Heartbeat): ForwardOutcome {
        val outcome = CompletableDeferred<ForwardOutcome>()
        heartbeats.add(heartbeat, nowMs()) { outcome.complete(it) }
        wakeUp.trySend(Unit)
        return outcome.await()
    }

    /** Forwards a poll for [job] and waits for the leader's answer, for a bounded time. */
    suspend fun forwardPoll(job: JobId): PollOutcome {
        val outcome = CompletableDeferred<PollOutcome>()
        polls.add(job, nowMs()) { outcome.complete(it) }
        wakeUp.trySend(Unit)
        return outcome.await()
    }

    /** Queues the result of a command that this controller delivered for the leader; drops the oldest one if the queue is full. */
    fun forwardDeliveryResult(result: DeliveryResult) {
        deliveryResults.addLast(result)
        if (deliveryResults.size > MAX_DELIVERY_RESULTS) deliveryResults.removeFirst()
        wakeUp.trySend(Unit)
    }

    /** Sends batches until cancelled. */
    suspend fun run() {
        while (true) {
            wakeUp.receive()
            while (!isEmpty) {
                if (!heartbeats.isFull) delay(intervalMs)
                sendNext()
            }
        }
    }

    private suspend fun sendNext() {
        val receiver = leader() ?: return completeAllWithoutLeader()
        val batch = nextBatch(receiver.term)
        if (batch.isEmpty) return
        val result = sendSafely(receiver, batch, heartbeats.timeLeftMs(batch.heartbeats, nowMs()))
        lastUnreachableMs = if (result is BatchResult.Unreachable) nowMs() else null
        when (result) {
            is BatchResult.Answered -> complete(batch, result, receiver.term)
            BatchResult.NotLeading, BatchResult.Unreachable, BatchResult.TimedOut, BatchResult.Rejected -> completeUnanswered(batch)
        }
    }

    private fun nextBatch(term: Long) =
        OutgoingBatch(heartbeats.nextBatch(term, nowMs()), polls.take(MAX_POLLS_PER_BATCH), takeDeliveryResults(term))

    /** Sends [batch]. An exception is logged and returned as [BatchResult.NotLeading], so that the batch's callers get an outcome. */
    // An uncaught exception would end the loop in [run], and no more heartbeats would be forwarded.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun sendSafely(receiver: KnownLeader, batch: OutgoingBatch, timeoutMs: Long): BatchResult = try {
        send(receiver, batch, timeoutMs)
    } catch (e: CancellationException) {
        throw e
    } catch (e: RuntimeException) {
        log.error("event=batch_failed leader={} term={}", receiver.member, receiver.term, e)
        BatchResult.NotLeading
    }

    /** Completes [batch] with [answer], or as unanswered if the leader has changed since. */
    private fun complete(batch: OutgoingBatch, answer: BatchResult.Answered, term: Long) {
        val currentTerm = leader()?.term
        heartbeats.completeWithDecisions(batch.heartbeats, answer.decisions, currentTerm, nowMs())
        polls.completeAnswered(batch.polls, if (currentTerm == term) answer.statuses else emptyList(), nowMs())
    }

    private fun completeUnanswered(batch: OutgoingBatch) {
        heartbeats.completeUnanswered(batch.heartbeats)
        polls.completeUnanswered(batch.polls)
    }

    /**
     * Removes the next results of [term] from the queue and returns them, as many as a batch has room for. Results of earlier terms are
     * dropped, because delivery IDs are unique only within a term.
     */
    private fun takeDeliveryResults(term: Long): List<DeliveryResult> {
        deliveryResults.removeAll { it.term != term }
        val candidates = deliveryResults.take(MAX_DELIVERY_RESULTS_PER_BATCH)
        val batches = MessageParts.split(candidates, MAX_DELIVERY_RESULTS_PER_BATCH) { HeartbeatQueue.estimatedBytes(it.heartbeat) }
        val taken = batches.firstOrNull().orEmpty()
        repeat(taken.size) { deliveryResults.removeFirst() }
        return taken
    }

    private fun completeAllWithoutLeader() {
        heartbeats.completeAllUnanswered()
        polls.completeAllWithoutLeader()
        deliveryResults.clear()
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.peers")

        /** Workers wait 4 s for an answer; the remaining 1 s is for the round trip between the worker and this controller. */
        const val HEARTBEAT_TIMEOUT_MS = 3000L

        /** Users wait 2 s for an answer; the remaining 200 ms are for the round trip between the user and this controller. */
        const val POLL_TIMEOUT_MS = 1800L

        /** Polls are small, so only their number is limited. [HeartbeatQueue] also limits the size of heartbeats. */
        const val MAX_POLLS_PER_BATCH = 400
        const val MAX_DELIVERY_RESULTS_PER_BATCH = 40
        const val MAX_DELIVERY_RESULTS = 2000
    }
}
