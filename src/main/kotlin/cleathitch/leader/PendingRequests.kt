package cleathitch.leader

import cleathitch.scheduler.model.RequestId
import kotlinx.coroutines.CompletableDeferred

/**
 * The requests of one kind that await the scheduler's answer, oldest first. Confined to the event loop.
 *
 * Requests are timed out by [expire], which the term's periodic tick calls. A separate timer for each request would cost a tenth
 * as much as handling a heartbeat.
 */
internal class PendingRequests<T>(private val monotonicMs: () -> Long) {
    private class Pending<T>(val sinceMs: Long) {
        val outcome = CompletableDeferred<RequestOutcome<T>>()
    }

    private val pending = LinkedHashMap<RequestId, Pending<T>>()

    operator fun contains(request: RequestId) = request in pending

    /**
     * Registers the request, calls [onRegistered], and suspends until the request has an outcome. The request is registered first
     * because [onRegistered] may run the scheduler immediately.
     */
    suspend fun await(request: RequestId, onRegistered: () -> Unit): RequestOutcome<T> {
        val entry = Pending<T>(monotonicMs())
        pending[request] = entry
        onRegistered()
        return try {
            entry.outcome.await()
        } finally {
            pending.remove(request)
        }
    }

    /** Completes the request with [answer]; does nothing if the sender no longer awaits it. */
    fun answer(request: RequestId, answer: T) {
        pending[request]?.outcome?.complete(RequestOutcome.Answered(answer))
    }

    /** Completes the request without an answer, for [reason]. */
    fun completeUnanswered(request: RequestId, reason: UnansweredReason) {
        pending[request]?.outcome?.complete(RequestOutcome.Unanswered(reason))
    }

    /** Times out the requests that have been pending for [timeoutMs] or longer. */
    fun expire(timeoutMs: Long) {
        val newestExpiredMs = monotonicMs() - timeoutMs
        pending.values.takeWhile { it.sinceMs <= newestExpiredMs }
            .forEach { it.outcome.complete(RequestOutcome.Unanswered(UnansweredReason.TIMED_OUT)) }
    }

    /** Completes all requests without an answer, at the end of the term. */
    fun endAll() {
        pending.values.toList().forEach { it.outcome.complete(RequestOutcome.Unanswered(UnansweredReason.TERM_ENDED)) }
    }
}
