package cleathitch.leader

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Priority classes and limits of [InputQueue] under overload. */
class InputQueueTest {
    private val queue = InputQueue(maxQueuedRequests = 1000)
    private var requests = 0L

    private fun request() = RequestId(++requests)
    private fun submit(job: Int) = Input.Submit(request(), SimulatedCluster.jobSpec(job))
    private fun poll(job: Int) = Input.Poll(request(), SimulatedCluster.jobSpec(job).id)
    private fun cancel(job: Int) = Input.Cancel(request(), SimulatedCluster.jobSpec(job).id)
    private fun next(isAwaited: (Input) -> Boolean = { true }) = queue.nextBatch(isAwaited)

    @Test
    fun `lease renewals and successful commits come before queued submissions in the next batch`() {
        repeat(1000) { queue.offer(submit(it)) }
        next()
        queue.offer(Input.LeaseRenewed(5))
        queue.offer(Input.CommitSucceeded(LogIndex(1), 2))
        assertEquals(listOf(Input.LeaseRenewed(5), Input.CommitSucceeded(LogIndex(1), 2)), next().take(2))
    }

    @Test
    fun `a cancellation comes before queued submissions in the next batch`() {
        repeat(900) { queue.offer(submit(it)) }
        val cancellation = cancel(job = 5000)
        queue.offer(cancellation)
        assertEquals(cancellation, next().first())
    }

    @Test
    fun `a batch is bounded and takes inputs from every priority class that has some queued`() {
        repeat(400) { queue.offer(submit(it)) }
        repeat(400) { queue.offer(poll(1000 + it)) }
        queue.offer(Input.Tick)
        val batch = next()
        assertTrue(batch.size < 300) { "the batch contains ${batch.size} inputs, not fewer than 300" }
        assertTrue(batch.any { it is Input.Submit } && batch.any { it is Input.Poll } && Input.Tick in batch)
    }

    @Test
    fun `requests beyond the limit are refused but other inputs are accepted`() {
        repeat(1000) { assertTrue(queue.offer(submit(it))) }
        assertFalse(queue.offer(poll(1)))
        assertTrue(queue.offer(Input.CommitSucceeded(LogIndex(1), 2)))
        next()
        assertTrue(queue.offer(poll(1)))
    }

    @Test
    fun `requests about the same job stay in order`() {
        val inputs = listOf(submit(job = 1), cancel(job = 1), poll(job = 1))
        inputs.forEach { queue.offer(it) }
        assertEquals(inputs, next())
        // Once the job's submission has left the queue, a poll need not wait behind submissions of other jobs.
        val others = listOf(submit(job = 2), poll(job = 1))
        others.forEach { queue.offer(it) }
        assertEquals(others.reversed(), next())
    }

    @Test
    fun `requests whose sender no longer awaits an answer are dropped, which frees capacity`() {
        repeat(1000) { queue.offer(submit(it)) }
        var batches = 0
        while (!queue.isEmpty) {
            assertEquals(emptyList<Input>(), next { false })
            batches++
        }
        assertTrue(batches < 20)
        assertEquals(0, queue.queuedRequests)
    }
}
