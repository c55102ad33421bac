package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.log.LogKeys
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What a commit records is visible to nobody before it is carried out, as its leader may end before that. */
class CommitVisibilityTest : CombinedFaultsHarness() {
    private val job get() = taskOf(1).job

    /** All the ways in which a user or a follower learns of a job's state. */
    private val queries = mapOf<String, () -> Input>(
        "a poll" to { Input.Poll(request(), job) },
        "a repeated submission" to { Input.Submit(request(), SimulatedCluster.job(1, tasks = 1)) },
        "a cancellation" to { Input.Cancel(request(), job) },
        "a follower's batch of polls" to { Input.FollowerBatchReceived(request(), emptyList(), listOf(job)) },
    )

    /** Reported as done by this leader, the job would be queued again under the next. */
    @Test
    fun `an end that is archived by its own commit isn't reported before it is committed`() {
        completeJobWithArchiveUncommitted()

        for ((name, query) in queries) assertFalse(JobState.DONE in reportedStates(step(query())), name)

        failOver()
        assertEquals(JobState.QUEUED, stateIn(poll(1)))
    }

    @Test
    fun `an end that is archived by its own commit is reported once committed, and by the next leader`() {
        completeJobWithArchiveUncommitted()
        val cancellation = step(Input.Cancel(request(), job))
        assertEquals(emptyList<JobState?>(), reportedStates(cancellation))

        val committed = endStoreOutage()

        assertEquals(listOf(JobState.DONE), reportedStates(committed))
        assertEquals(JobState.DONE, stateIn(poll(1)))
        failOver()
        for ((name, query) in queries) assertEquals(listOf(JobState.DONE), reportedStates(step(query())), name)
    }

    /** The same for a cancelled job, whose last attempt ends as a compaction is due. */
    @Test
    fun `a cancelled job that is being archived stays cancelled whether or not that is committed`() {
        lead()
        startJob(1)
        machine.sendHeartbeat()
        assertTrue(confirmsCancellation(cancel(1)))
        isStoreOut = true
        advanceTo(nowMs + timings.compactionMs)

        machine.sendHeartbeat()
        machine.sendHeartbeat()

        assertEquals(listOf(JobState.CANCELLED), reportedStates(step(Input.Poll(request(), job))))
        failOver()
        assertEquals(JobState.CANCELLED, stateIn(poll(1)))
    }

    /** The last task's result arrives just as a compaction is due, so that one commit records and archives the job's end. */
    private fun completeJobWithArchiveUncommitted() {
        lead()
        startJob(1)
        machine.sendHeartbeat()
        runRounds(2)
        isStoreOut = true
        advanceTo(nowMs + timings.compactionMs)
        machine.completeTasks()
        val archives = machine.sendHeartbeat().commits().single().changes.filter { it.key.startsWith(LogKeys.FINISHED_JOBS_PREFIX) }
        assertEquals(1, archives.size) { "the commit doesn't archive, so this test shows nothing" }
    }

    private fun reportedStates(effects: List<Effect>) =
        effects.userReplies().map(::stateIn) + effects.followerAnswers().flatMap { answer -> answer.statuses.map(::stateIn) }

    private fun stateIn(reply: UserReply): JobState? = when (reply) {
        is UserReply.Status -> reply.state
        is UserReply.Accepted -> reply.state
        is UserReply.Cancelled -> reply.state
        is UserReply.Unavailable, is UserReply.Unsatisfiable, UserReply.NotFound -> null
    }
}
