package cleathitch.peers

import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Each poll in a follower's queue is completed with the leader's answer or, if none arrives in time, with the reason. */
class PollQueueTest {
    private val queue = PollQueue(answerTimeoutMs = 1800)
    private val job = JobId("j-000001")
    private val other = JobId("j-000002")
    private val outcomes = ArrayList<PollOutcome>()
    private val running = UserReply.Status(job, JobState.RUNNING, 1, 2)

    private fun add(job: JobId, atMs: Long = 0) = queue.add(job, atMs) { outcomes += it }

    @Test
    fun `polls for one job that wait at the same time share an answer`() {
        repeat(3) { add(job) }
        assertEquals(listOf(job), queue.take(limit = 10))
        queue.completeAnswered(listOf(job), listOf(running), nowMs = 10)
        assertEquals(List(3) { PollOutcome.Answered(running) }, outcomes)
    }

    /** The answer to the earlier poll may predate the later one, and contain an older state than the user has already seen. */
    @Test
    fun `a poll that arrives while another for the same job is in flight waits for an answer of its own`() {
        add(job)
        queue.take(limit = 10)
        add(job, atMs = 5)
        queue.completeAnswered(listOf(job), listOf(running), nowMs = 10)
        assertEquals(1, outcomes.size)
        assertEquals(listOf(job), queue.take(limit = 10))
    }

    @Test
    fun `an answer after the timeout is discarded`() {
        add(job)
        queue.take(limit = 10)
        queue.completeAnswered(listOf(job), listOf(running), nowMs = 1800)
        assertEquals(listOf<PollOutcome>(PollOutcome.Unanswered(PollOutcome.Reason.TOO_LATE)), outcomes)
    }

    @Test
    fun `polls are completed with the reason if there is no answer or it has too few statuses`() {
        add(job)
        add(other)
        queue.completeAnswered(queue.take(limit = 10), listOf(running), nowMs = 0)
        add(job)
        queue.completeUnanswered(queue.take(limit = 10))
        add(job)
        queue.completeAllWithoutLeader()
        val reasons = List(3) { PollOutcome.Reason.NO_ANSWER } + PollOutcome.Reason.NO_LEADER
        assertEquals(reasons.map(PollOutcome::Unanswered), outcomes)
        assertTrue(queue.isEmpty)
    }

    @Test
    fun `a batch is bounded and takes the oldest polls first`() {
        repeat(5) { add(JobId("j-$it")) }
        assertEquals(listOf("j-0", "j-1", "j-2"), queue.take(limit = 3).map { it.text })
        assertEquals(listOf("j-3", "j-4"), queue.take(limit = 3).map { it.text })
    }
}
