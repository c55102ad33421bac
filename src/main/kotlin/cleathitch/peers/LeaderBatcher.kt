package cleathitch.peers

import cleathitch.scheduler.api.UserReply
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
 * Hands what a follower takes in to the leader, in batches: workers' reports, users' polls, and the results of commands
 * that the follower delivered to workers. One request is in flight, and before the next there is a short pause in
 * which more gathers.
 */
class LeaderBatcher(
    private val intervalMs: Long,
    private val unreachableMs: Long,
    private val nowMs: () -> Long,
    private val leader: () -> KnownLeader?,
    private val send: suspend (KnownLeader, OutgoingBatch, timeoutMs: Long) -> BatchResult,
) {
    private val reports = HeartbeatQueue(REPORT_WITHIN_MS)
    private val polls = PollQueue(POLL_WITHIN_MS)
    private val directResults = ArrayDeque<DeliveryResult>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private var unreachableSinceMs: Long? = null

    /** The leader refused connections from this node a moment ago. */
    val leaderUnreachable get() = unreachableSinceMs?.let { nowMs() - it < unreachableMs } == true

    private val isEmpty get() = reports.isEmpty && polls.isEmpty && directResults.isEmpty()

    /** Waits for the leader's decision about [report], for a bounded time. */
    suspend fun decide(report: Heartbeat): ForwardOutcome {
        val outcome = CompletableDeferred<ForwardOutcome>()
        reports.add(report, nowMs()) { outcome.complete(it) }
        wakeUp.trySend(Unit)
        return outcome.await()
    }

    /** Waits for the leader's word about [job], for a bounded time; null if there is none. */
    suspend fun status(job: JobId): UserReply? {
        val status = CompletableDeferred<UserReply?>()
        polls.add(job, nowMs()) { status.complete(it) }
        wakeUp.trySend(Unit)
        return status.await()
    }

    /** Tells the leader what came of a command that this node delivered for it. */
    fun tell(result: DeliveryResult) {
        directResults.addLast(result)
        if (directResults.size > MAX_RESULTS) directResults.removeFirst()
        wakeUp.trySend(Unit)
    }

    /** Sends batches until it is cancelled. */
    suspend fun run() {
        while (true) {
            wakeUp.receive()
            while (!isEmpty) {
                if (!reports.isFull) delay(intervalMs)
                sendNext()
            }
        }
    }

    private suspend fun sendNext() {
        val known = leader() ?: return refuseAll()
        val batch = OutgoingBatch(reports.nextBatch(known.term, nowMs()), polls.take(MAX_POLLS), takeResults(known.term))
        if (batch.reports.isEmpty && batch.polls.isEmpty() && batch.directResults.isEmpty()) return
        val timeoutMs = reports.timeLeftMs(batch.reports, nowMs())
        val result = sendSafely(known, batch, timeoutMs)
        unreachableSinceMs = if (result is BatchResult.Unreachable) nowMs() else null
        val currentTerm = leader()?.term
        when (result) {
            is BatchResult.Answered -> {
                reports.decided(batch.reports, result.decisions, currentTerm, nowMs())
                polls.answered(batch.polls, if (currentTerm == known.term) result.statuses else emptyList(), nowMs())
            }
            BatchResult.NotLeading, BatchResult.Unreachable, BatchResult.TimedOut -> {
                reports.unanswered(batch.reports)
                polls.unanswered(batch.polls)
            }
        }
    }

    /** Whatever goes wrong with one batch, those who wait for it get their answer, and the next one is sent. */
    private suspend fun sendSafely(known: KnownLeader, batch: OutgoingBatch, timeoutMs: Long): BatchResult = try {
        send(known, batch, timeoutMs)
    } catch (e: CancellationException) {
        throw e
    } catch (e: RuntimeException) {
        log.error("the batch for {} in term {} failed", known.member, known.term, e)
        BatchResult.NotLeading
    }

    /** Results of commands of earlier terms mean nothing to the present leader. */
    private fun takeResults(term: Long): List<DeliveryResult> {
        val taken = List(minOf(directResults.size, MAX_RESULTS_PER_BATCH)) { directResults.removeFirst() }
        return taken.filter { it.term == term }
    }

    private fun refuseAll() {
        reports.refuseAll()
        polls.refuseAll()
        directResults.clear()
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.peers")

        /** Workers wait 4 s for an answer; the rest of that is for the ways to this node and back. */
        const val REPORT_WITHIN_MS = 3000L

        /** Users wait 2 s for a poll's answer. */
        const val POLL_WITHIN_MS = 1800L

        /** A batch's other limits are those of its reports; polls and results are small. */
        const val MAX_POLLS = 400
        const val MAX_RESULTS_PER_BATCH = 40
        const val MAX_RESULTS = 2000
    }
}
