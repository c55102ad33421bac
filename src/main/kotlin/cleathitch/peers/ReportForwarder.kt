package cleathitch.peers

import cleathitch.core.Report
import cleathitch.core.ReportDecision
import cleathitch.workers.ForwardOutcome
import cleathitch.workers.ReportQueue
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay

/** The leader as a follower knows it. */
data class KnownLeader(val member: String, val term: Long)

/** What came of a batch of reports that was sent to the leader. */
sealed interface BatchResult {
    data class Decided(val decisions: List<ReportDecision>) : BatchResult

    /** The node that was asked doesn't lead in the batch's term, or can't decide yet. */
    data object NotLeading : BatchResult

    /** The connection failed before the time was over. */
    data object Unreachable : BatchResult
    data object TimedOut : BatchResult
}

/**
 * Hands the reports that a follower takes in to the leader, in batches: one request in flight, and a short pause before
 * the next one in which reports gather.
 */
class ReportForwarder(
    private val intervalMs: Long,
    private val unreachableMs: Long,
    private val nowMs: () -> Long,
    private val leader: () -> KnownLeader?,
    private val send: suspend (KnownLeader, ReportQueue.Batch, timeoutMs: Long) -> BatchResult,
) {
    private val queue = ReportQueue(ANSWER_WITHIN_MS)
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private var unreachableSinceMs: Long? = null

    /** The leader refused connections from this node a moment ago. */
    val leaderUnreachable get() = unreachableSinceMs?.let { nowMs() - it < unreachableMs } == true

    /** Waits for the leader's decision about [report], for a bounded time. */
    suspend fun forward(report: Report): ForwardOutcome {
        val outcome = CompletableDeferred<ForwardOutcome>()
        queue.add(report, nowMs()) { outcome.complete(it) }
        wakeUp.trySend(Unit)
        return outcome.await()
    }

    /** Sends batches until it is cancelled. */
    suspend fun run() {
        while (true) {
            wakeUp.receive()
            while (!queue.isEmpty) {
                if (!queue.isFull) delay(intervalMs)
                sendNext()
            }
        }
    }

    private suspend fun sendNext() {
        val known = leader() ?: return queue.refuseAll()
        val batch = queue.nextBatch(known.term, nowMs()) ?: return
        val result = send(known, batch, queue.timeLeftMs(batch, nowMs()))
        unreachableSinceMs = if (result is BatchResult.Unreachable) nowMs() else null
        when (result) {
            is BatchResult.Decided -> queue.decided(batch, result.decisions, leader()?.term ?: 0, nowMs())
            BatchResult.NotLeading, BatchResult.Unreachable, BatchResult.TimedOut -> queue.unanswered(batch)
        }
    }

    private companion object {
        /** Workers wait 4 s for an answer; the rest of that is for the ways to this node and back. */
        const val ANSWER_WITHIN_MS = 3000L
    }
}
