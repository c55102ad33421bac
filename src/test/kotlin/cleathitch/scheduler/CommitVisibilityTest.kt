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

/** Users and followers see a job's new state only after the commit that records it, as the leader may fail before the commit succeeds. */
class CommitVisibilityTest : CombinedFaultsHarness() {
    private val job get() = taskId(1).job

    /** All requests through which a user or a follower learns a job's state. */
    private val queries = mapOf<String, () -> Input>(
        "a poll" to { Input.Poll(request(), job) },
        "a repeated submission" to { Input.Submit(request(), SimulatedCluster.jobSpec(1, tasks = 1)) },
        "a cancellation" to { Input.Cancel(request(), job) },
        "a follower's batch of polls" to { Input.FollowerBatchReceived(request(), emptyList(), listOf(job)) },
    )

    /** If this leader reported the job as done and failed before the commit, the next leader would report it as queued. */
    @Test
    fun `a final state that is recorded and archived by one commit isn't reported before the commit`() {
        completeJobWithoutCommit()

        for ((name, query) in queries) {
            assertFalse(JobState.DONE in reportedStates(step(query()))) { "DONE before the commit in reply to $name" }
        }

        failOver()
        assertEquals(JobState.QUEUED, jobStateIn(poll(1)))
    }

    @Test
    fun `a final state that is recorded and archived by one commit is reported after the commit, and by the next leader`() {
        completeJobWithoutCommit()
        val cancellation = step(Input.Cancel(request(), job))
        assertEquals(emptyList<JobState?>(), reportedStates(cancellation))

        val committed = endStoreOutage()

        assertEquals(listOf(JobState.DONE), reportedStates(committed))
        assertEquals(JobState.DONE, jobStateIn(poll(1)))
        failOver()
        for ((name, query) in queries) assertEquals(listOf(JobState.DONE), reportedStates(step(query())), name)
    }

    /** The last attempt of a cancelled job ends when a compaction is due, so that one commit records its end and archives the job. */
    @Test
    fun `a cancelled job that is being archived stays cancelled whether or not the commit succeeds`() {
        becomeLeaderWithFleet()
        startJob(1)
        machine.sendHeartbeat()
        assertTrue(confirmsCancellation(cancel(1)))
        isStoreUnavailable = true
        advanceTo(nowMs + timings.compactionPeriodMs)

        machine.sendHeartbeat()
        machine.sendHeartbeat()

        assertEquals(listOf(JobState.CANCELLED), reportedStates(step(Input.Poll(request(), job))))
        failOver()
        assertEquals(JobState.CANCELLED, jobStateIn(poll(1)))
    }

    /**
     * Completes the last task when a compaction is due, so that one commit records and archives the job's final state. The commit
     * stays pending.
     */
    private fun completeJobWithoutCommit() {
        becomeLeaderWithFleet()
        startJob(1)
        machine.sendHeartbeat()
        runRounds(2)
        isStoreUnavailable = true
        advanceTo(nowMs + timings.compactionPeriodMs)
        machine.completeTasks()
        val archiveChanges = machine.sendHeartbeat().commits().single().changes.filter { it.key.startsWith(LogKeys.FINISHED_JOBS_PREFIX) }
        assertEquals(1, archiveChanges.size) { "changes under ${LogKeys.FINISHED_JOBS_PREFIX} in the commit" }
    }

    private fun reportedStates(effects: List<Effect>) =
        effects.userReplies().map(::jobStateIn) + effects.followerAnswers().flatMap { answer -> answer.statuses.map(::jobStateIn) }

    private fun jobStateIn(reply: UserReply): JobState? = when (reply) {
        is UserReply.Status -> reply.state
        is UserReply.Accepted -> reply.state
        is UserReply.Cancelled -> reply.state
        is UserReply.Unavailable, is UserReply.Unsatisfiable, UserReply.NotFound -> null
    }
}
