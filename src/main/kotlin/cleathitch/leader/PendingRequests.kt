package cleathitch.leader

import cleathitch.scheduler.model.RequestId
import kotlinx.coroutines.CompletableDeferred

/**
 * The requests of one kind that wait for the scheduler's answer, the oldest first. Confined to the event loop.
 *
 * Requests expire by [expire], which the term's tick calls: a timer for each request costs a tenth of a heartbeat's work.
 */
internal class PendingRequests<T>(private val steadyMs: () -> Long) {
    private class Pending<T>(val sinceMs: Long) {
        val outcome = CompletableDeferred<RequestOutcome<T>>()
    }

    private val pending = LinkedHashMap<RequestId, Pending<T>>()

    operator fun contains(request: RequestId) = request in pending

    /**
     * Registers the request, calls [onRegistered], and suspends until the request has an outcome. [onRegistered] may
     * run the scheduler at once, so the request has to be in the table by then.
     */
    suspend fun await(request: RequestId, onRegistered: () -> Unit): RequestOutcome<T> {
        val entry = Pending<T>(steadyMs())
        pending[request] = entry
        onRegistered()
        return try {
            entry.outcome.await()
        } finally {
            pending.remove(request)
        }
    }

    /** Answers the request; one whose sender has given up is ignored. */
    fun answer(request: RequestId, answer: T) {
        pending[request]?.outcome?.complete(RequestOutcome.Answered(answer))
    }

    /** Ends the request without an answer. */
    fun leaveUnanswered(request: RequestId, reason: UnansweredReason) {
        pending[request]?.outcome?.complete(RequestOutcome.Unanswered(reason))
    }

    /** Ends the requests that have waited for [timeoutMs] or longer. */
    fun expire(timeoutMs: Long) {
        val newestExpiredMs = steadyMs() - timeoutMs
        pending.values.takeWhile { it.sinceMs <= newestExpiredMs }
            .forEach { it.outcome.complete(RequestOutcome.Unanswered(UnansweredReason.TIMED_OUT)) }
    }

    /** Ends all requests at the end of the term. */
    fun endAll() {
        pending.values.toList().forEach { it.outcome.complete(RequestOutcome.Unanswered(UnansweredReason.TERM_ENDED)) }
    }
}
