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
 * Forwards to the leader what a follower receives, in batches: workers' heartbeats, users' polls, and the results of commands
 * that the follower delivered to workers. One batch is in flight at a time, and before the next there is a pause of
 * [intervalMs] in which more gathers. Confined to the controller's event loop.
 *
 * [leader] gives the leader to send to, or null if none is known; [send] sends one batch to it.
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
    private var unreachableSinceMs: Long? = null

    /** A batch failed to reach the leader within the last [unreachableMs]. */
    val isLeaderUnreachable get() = unreachableSinceMs?.let { nowMs() - it < unreachableMs } == true

    private val isEmpty get() = heartbeats.isEmpty && polls.isEmpty && deliveryResults.isEmpty()

    /** Waits for the leader's decision about [heartbeat], for a bounded time. */
    suspend fun forwardHeartbeat(heartbeat: Heartbeat): ForwardOutcome {
        val outcome = CompletableDeferred<ForwardOutcome>()
        heartbeats.add(heartbeat, nowMs()) { outcome.complete(it) }
        wakeUp.trySend(Unit)
        return outcome.await()
    }

    /** Waits for the leader's answer about [job], for a bounded time. */
    suspend fun forwardPoll(job: JobId): PollOutcome {
        val outcome = CompletableDeferred<PollOutcome>()
        polls.add(job, nowMs()) { outcome.complete(it) }
        wakeUp.trySend(Unit)
        return outcome.await()
    }

    /** Queues the result of a command that this controller delivered for the leader. If too many wait, the oldest are dropped. */
    fun forwardDeliveryResult(result: DeliveryResult) {
        deliveryResults.addLast(result)
        if (deliveryResults.size > MAX_DELIVERY_RESULTS) deliveryResults.removeFirst()
        wakeUp.trySend(Unit)
    }

    /** Sends batches until it is cancelled. */
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
        unreachableSinceMs = if (result is BatchResult.Unreachable) nowMs() else null
        when (result) {
            is BatchResult.Answered -> complete(batch, result, receiver.term)
            BatchResult.NotLeading, BatchResult.Unreachable, BatchResult.TimedOut -> completeUnanswered(batch)
        }
    }

    private fun nextBatch(term: Long) =
        OutgoingBatch(heartbeats.nextBatch(term, nowMs()), polls.take(MAX_POLLS_PER_BATCH), takeDeliveryResults(term))

    /** Whatever goes wrong with one batch, its waiting callers are completed, and the next one is sent. */
    // An exception of any kind would end the sending loop, and with it all forwarding of heartbeats.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun sendSafely(receiver: KnownLeader, batch: OutgoingBatch, timeoutMs: Long): BatchResult = try {
        send(receiver, batch, timeoutMs)
    } catch (e: CancellationException) {
        throw e
    } catch (e: RuntimeException) {
        log.error("event=batch_failed leader={} term={}", receiver.member, receiver.term, e)
        BatchResult.NotLeading
    }

    /** Answers of a leader that has been followed by another since are not passed on. */
    private fun complete(batch: OutgoingBatch, answer: BatchResult.Answered, term: Long) {
        val currentTerm = leader()?.term
        heartbeats.completeDecided(batch.heartbeats, answer.decisions, currentTerm, nowMs())
        polls.completeAnswered(batch.polls, if (currentTerm == term) answer.statuses else emptyList(), nowMs())
    }

    private fun completeUnanswered(batch: OutgoingBatch) {
        heartbeats.completeUnanswered(batch.heartbeats)
        polls.completeUnanswered(batch.polls)
    }

    /** Without those of earlier terms: their ids mean nothing to the present leader. */
    private fun takeDeliveryResults(term: Long): List<DeliveryResult> {
        val taken = List(minOf(deliveryResults.size, MAX_DELIVERY_RESULTS_PER_BATCH)) { deliveryResults.removeFirst() }
        return taken.filter { it.term == term }
    }

    private fun completeAllWithoutLeader() {
        heartbeats.completeAllUnanswered()
        polls.completeAllWithoutLeader()
        deliveryResults.clear()
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.peers")

        /** Workers wait 4 s for an answer; the rest of that is for the network between worker and this controller. */
        const val HEARTBEAT_TIMEOUT_MS = 3000L

        /** Users wait 2 s for a poll's answer. */
        const val POLL_TIMEOUT_MS = 1800L

        /** A batch's other limits are those of its heartbeats; polls and results are small. */
        const val MAX_POLLS_PER_BATCH = 400
        const val MAX_DELIVERY_RESULTS_PER_BATCH = 40
        const val MAX_DELIVERY_RESULTS = 2000
    }
}
