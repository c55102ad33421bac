package cleathitch.leader

import cleathitch.scheduler.model.RequestId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PendingRequestsTest {
    private var nowMs = 1000L
    private val pending = PendingRequests<String>(monotonicMs = { nowMs })
    private val first = RequestId(1)
    private val second = RequestId(2)

    private fun CoroutineScope.awaiting(request: RequestId): Deferred<RequestOutcome<String>> =
        async(start = CoroutineStart.UNDISPATCHED) { pending.await(request, onRegistered = {}) }

    @Test
    fun `an answer completes only the request that it belongs to`() = runBlocking {
        val outcomes = listOf(first, second).map { awaiting(it) }
        pending.answer(second, "second")
        pending.answer(first, "first")
        assertEquals(listOf(RequestOutcome.Answered("first"), RequestOutcome.Answered("second")), outcomes.map { it.await() })
    }

    @Test
    fun `a request can be answered while it is being registered`() = runBlocking {
        val outcome = pending.await(first, onRegistered = { pending.answer(first, "at once") })
        assertEquals(RequestOutcome.Answered("at once"), outcome)
    }

    @Test
    fun `a request that is completed without an answer gets the reason`() = runBlocking {
        val outcome = awaiting(first)
        pending.completeUnanswered(first, UnansweredReason.REFUSED)
        assertEquals(RequestOutcome.Unanswered(UnansweredReason.REFUSED), outcome.await())
    }

    @Test
    fun `requests expire once the timeout has passed, and more recent ones stay pending`() = runBlocking {
        val old = awaiting(first)
        nowMs += 1
        val young = awaiting(second)
        nowMs += 2999
        pending.expire(timeoutMs = 3000)
        assertEquals(RequestOutcome.Unanswered(UnansweredReason.TIMED_OUT), old.await())
        assertTrue(young.isActive)
        pending.answer(second, "in time")
        assertEquals(RequestOutcome.Answered("in time"), young.await())
    }

    @Test
    fun `the end of the term completes all requests without an answer`() = runBlocking {
        val outcomes = listOf(first, second).map { awaiting(it) }
        pending.endAll()
        assertEquals(List(2) { RequestOutcome.Unanswered(UnansweredReason.TERM_ENDED) }, outcomes.map { it.await() })
    }

    @Test
    fun `a request is pending until it is answered or cancelled`() = runBlocking {
        val answered = awaiting(first)
        val cancelled = awaiting(second)
        assertTrue(first in pending && second in pending)
        pending.answer(first, "answer")
        answered.await()
        cancelled.cancelAndJoin()
        assertFalse(first in pending || second in pending)
    }
}
