package cleathitch.peers

import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.workers.ForwardOutcome
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Every caller that waits for a batch gets an outcome, even if the batch fails. */
class LeaderBatcherTest {
    private val job = JobId("j-000001")
    private val done = UserReply.Status(job, JobState.DONE, 1, 0)
    private val heartbeat =
        Heartbeat(MachineId("vm-000001"), "10.0.0.1:9000", "m4", "a", false, 1, 7, FencingToken.first(9), null, emptyList())
    private var leader: KnownLeader? = KnownLeader("n1", 9)
    private var send: suspend (OutgoingBatch) -> BatchResult = { answered(it) }
    private val batcher = LeaderBatcher(intervalMs = 1, unreachableMs = 1000, ::nowMs, { leader }, { _, batch, _ -> send(batch) })

    private fun nowMs() = System.nanoTime() / 1_000_000

    private fun answered(batch: OutgoingBatch) = BatchResult.Answered(emptyList(), batch.polls.map { done })

    private fun withRunningBatcher(test: suspend () -> Unit) = runBlocking {
        val running = launch { batcher.run() }
        withTimeout(TIMEOUT_MS) { test() }
        running.cancelAndJoin()
    }

    @Test
    fun `callers whose batch fails get an unanswered outcome, and the next batch is sent`() = withRunningBatcher {
        send = { throw IllegalArgumentException("malformed") }
        coroutineScope {
            val status = async { batcher.forwardPoll(job) }
            val outcome = async { batcher.forwardHeartbeat(heartbeat) }
            assertEquals(PollOutcome.Unanswered(PollOutcome.Reason.NO_ANSWER), status.await())
            assertEquals(ForwardOutcome.Unanswered, outcome.await())
        }
        send = { answered(it) }
        assertEquals(PollOutcome.Answered(done), batcher.forwardPoll(job))
    }

    @Test
    fun `without a leader all waiting callers get an unanswered outcome immediately`() = withRunningBatcher {
        leader = null
        assertEquals(PollOutcome.Unanswered(PollOutcome.Reason.NO_LEADER), batcher.forwardPoll(job))
        assertEquals(ForwardOutcome.Unanswered, batcher.forwardHeartbeat(heartbeat))
    }

    /** Only one batch is in flight at a time. Polls that arrive meanwhile must neither replace the polls in flight nor get lost. */
    @Test
    fun `polls for one job that arrive before and while a batch is in flight all get an answer`() = withRunningBatcher {
        send = {
            delay(BATCH_DURATION_MS)
            answered(it)
        }
        coroutineScope {
            val polls = List(POLLS) { number ->
                async {
                    delay(number.toLong())
                    batcher.forwardPoll(job)
                }
            }
            polls.forEach { assertEquals(PollOutcome.Answered(done), it.await()) }
        }
    }

    /** Polls for one job share an entry in the queue. Cancelling some of the callers must not affect the others. */
    @Test
    fun `cancelled polls don't affect the answers to others`() = withRunningBatcher {
        send = {
            delay(BATCH_DURATION_MS)
            answered(it)
        }
        coroutineScope {
            val polls = List(POLLS) { async { batcher.forwardPoll(job) } }
            delay(BATCH_DURATION_MS / 2)
            polls.filterIndexed { number, _ -> number % 2 == 0 }.forEach { it.cancel() }
            polls.filterIndexed { number, _ -> number % 2 == 1 }.forEach { assertEquals(PollOutcome.Answered(done), it.await()) }
        }
        assertEquals(PollOutcome.Answered(done), batcher.forwardPoll(job))
    }

    private companion object {
        const val TIMEOUT_MS = 20_000L
        const val BATCH_DURATION_MS = 20L
        const val POLLS = 50
    }
}
