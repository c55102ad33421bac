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
    private val pending = PendingRequests<String>(steadyMs = { nowMs })
    private val first = RequestId(1)
    private val second = RequestId(2)

    private fun CoroutineScope.awaiting(request: RequestId): Deferred<RequestOutcome<String>> =
        async(start = CoroutineStart.UNDISPATCHED) { pending.await(request, onRegistered = {}) }

    @Test
    fun `an answer reaches the request that it is for, and no other`() = runBlocking {
        val outcomes = listOf(first, second).map { awaiting(it) }
        pending.answer(second, "second")
        pending.answer(first, "first")
        assertEquals(listOf(RequestOutcome.Answered("first"), RequestOutcome.Answered("second")), outcomes.map { it.await() })
    }

    @Test
    fun `a request can be answered as soon as it is registered`() = runBlocking {
        val outcome = pending.await(first, onRegistered = { pending.answer(first, "at once") })
        assertEquals(RequestOutcome.Answered("at once"), outcome)
    }

    @Test
    fun `a request that is left unanswered learns the reason`() = runBlocking {
        val outcome = awaiting(first)
        pending.leaveUnanswered(first, UnansweredReason.REFUSED)
        assertEquals(RequestOutcome.Unanswered(UnansweredReason.REFUSED), outcome.await())
    }

    @Test
    fun `requests expire after their timeout, younger ones wait on`() = runBlocking {
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
    fun `the end of the term ends every request`() = runBlocking {
        val outcomes = listOf(first, second).map { awaiting(it) }
        pending.endAll()
        assertEquals(List(2) { RequestOutcome.Unanswered(UnansweredReason.TERM_ENDED) }, outcomes.map { it.await() })
    }

    @Test
    fun `a request is pending until it is answered or given up`() = runBlocking {
        val answered = awaiting(first)
        val givenUp = awaiting(second)
        assertTrue(first in pending && second in pending)
        pending.answer(first, "answer")
        answered.await()
        givenUp.cancelAndJoin()
        assertFalse(first in pending || second in pending)
    }
}
