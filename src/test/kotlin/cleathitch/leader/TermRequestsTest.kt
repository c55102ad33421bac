package cleathitch.leader

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TermRequestsTest {
    private var nowMs = 0L
    private val queue = InputQueue(maxQueuedRequests = 2)
    private val requests = TermRequests(queue, monotonicMs = { nowMs }, wakeUp = {})
    private val job = JobId("j-000001")

    private fun CoroutineScope.polling() = async(start = CoroutineStart.UNDISPATCHED) { requests.poll(job) }

    @Test
    fun `until the log has been replayed, requests are refused with a reason and not queued`() = runBlocking {
        assertEquals(UserReply.Unavailable("the leader is recovering its state"), requests.poll(job))
        assertEquals(RequestOutcome.Unanswered(UnansweredReason.RECOVERING), requests.followerBatch(emptyList(), listOf(job)))
        assertTrue(queue.isEmpty)
    }

    @Test
    fun `a request beyond the queue's limit is refused with the estimated time until the queue is drained`() = runBlocking {
        requests.open()
        requests.recordBatch(inputs = 1, durationMs = 2500.0)
        val queued = List(2) { polling() }
        assertEquals(UserReply.Unavailable("too many requests wait", retryAfterS = 5), requests.poll(job))
        assertEquals(RequestOutcome.Unanswered(UnansweredReason.QUEUE_FULL), requests.followerBatch(emptyList(), listOf(job)))
        queued.forEach { it.cancelAndJoin() }
    }

    @Test
    fun `when the term ends, pending requests are completed and no more are accepted`() = runBlocking {
        requests.open()
        val poll = polling()
        requests.close()
        assertEquals(UserReply.Unavailable("this controller is no longer the leader"), poll.await())
        assertFalse(requests.isOpen)
        assertEquals(UserReply.Unavailable("the leader is recovering its state"), requests.poll(job))
    }

    @Test
    fun `a request that the scheduler does not answer times out after three seconds`() = runBlocking {
        requests.open()
        val poll = polling()
        nowMs = 2999
        requests.expire()
        assertTrue(poll.isActive)
        nowMs = 3000
        requests.expire()
        assertEquals(UserReply.Unavailable("this controller is no longer the leader"), poll.await())
    }

    @Test
    fun `a request is awaited until its sender cancels it, and other inputs are always awaited`() = runBlocking {
        requests.open()
        val poll = polling()
        val input = queue.nextBatch { true }.single()
        assertTrue(requests.isAwaited(input))
        poll.cancelAndJoin()
        assertFalse(requests.isAwaited(input))
        assertTrue(requests.isAwaited(Input.Tick))
    }
}
