package cleathitch.peers

import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Polls at a follower: answered by the leader's word, in time, or not at all. */
class PollQueueTest {
    private val queue = PollQueue(answerWithinMs = 1800)
    private val job = JobId("j-000001")
    private val other = JobId("j-000002")
    private val answers = ArrayList<UserReply?>()
    private val running = UserReply.Status(job, JobState.RUNNING, 1, 2)

    private fun add(job: JobId, atMs: Long = 0) = queue.add(job, atMs) { answers += it }

    @Test
    fun `polls for one job that wait together share an answer`() {
        repeat(3) { add(job) }
        assertEquals(listOf(job), queue.take(most = 10))
        queue.answered(listOf(job), listOf(running), nowMs = 10)
        assertEquals(List(3) { running }, answers)
    }

    /** The answer on its way was given before this poll was: it could be older than what its user was told since. */
    @Test
    fun `a poll that comes while another for its job is on its way isn't answered by that`() {
        add(job)
        queue.take(most = 10)
        add(job, atMs = 5)
        queue.answered(listOf(job), listOf(running), nowMs = 10)
        assertEquals(1, answers.size)
        assertEquals(listOf(job), queue.take(most = 10))
    }

    @Test
    fun `an answer that comes too late isn't passed on`() {
        add(job)
        queue.take(most = 10)
        queue.answered(listOf(job), listOf(running), nowMs = 1800)
        assertEquals(listOf<UserReply?>(null), answers)
    }

    @Test
    fun `without answers, or with too few, each poll is told so`() {
        add(job)
        add(other)
        queue.answered(queue.take(most = 10), listOf(running), nowMs = 0)
        add(job)
        queue.unanswered(queue.take(most = 10))
        add(job)
        queue.refuseAll()
        assertEquals(List(4) { null }, answers)
        assertTrue(queue.isEmpty)
    }

    @Test
    fun `a batch is bounded, the oldest first`() {
        repeat(5) { add(JobId("j-$it")) }
        assertEquals(listOf("j-0", "j-1", "j-2"), queue.take(most = 3).map { it.text })
        assertEquals(listOf("j-3", "j-4"), queue.take(most = 3).map { it.text })
    }
}
