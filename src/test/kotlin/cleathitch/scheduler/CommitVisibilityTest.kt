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

/** What a transaction records isn't told to anyone before it is committed: its leader may end before that. */
class CommitVisibilityTest : CombinedFaultsHarness() {
    private val job get() = taskOf(1).job

    /** The last task's result is reported just as a trim is due, so that one transaction records and archives the end. */
    private fun endsWithTrimUncommitted() {
        lead()
        runs(1)
        machine.reports()
        settle(rounds = 2)
        stateServiceOut = true
        at(nowMs + timings.trimMs)
        machine.ends()
        val archives = machine.reports().filterIsInstance<Effect.Write>().single().commit.changes.filter {
            it.key.startsWith(LogKeys.FINISHED_JOBS_PREFIX)
        }
        assertEquals(1, archives.size) { "the transaction doesn't archive, so this test shows nothing" }
    }

    private fun state(reply: UserReply): JobState? = when (reply) {
        is UserReply.Status -> reply.state
        is UserReply.Accepted -> reply.state
        is UserReply.Cancelled -> reply.state
        is UserReply.Unavailable, is UserReply.Unsatisfiable, UserReply.NotFound -> null
    }

    private fun told(effects: List<Effect>) = effects.filterIsInstance<Effect.Answer>().map { state(it.reply) } +
        effects.filterIsInstance<Effect.AnswerFollower>().flatMap { answer -> answer.statuses.map(::state) }

    private val questions = mapOf<String, () -> Input>(
        "a poll" to { Input.Poll(request(), job) },
        "a repeated submission" to { Input.Submit(request(), SimulatedCluster.job(1, tasks = 1)) },
        "a cancellation" to { Input.Cancel(request(), job) },
        "a follower's batch of polls" to { Input.FollowerBatchReceived(request(), emptyList(), listOf(job)) },
    )

    /** Told as done by this leader, it would be queued again for the next. */
    @Test
    fun `an end that is archived with its own record isn't told before the commit`() {
        endsWithTrimUncommitted()
        for ((question, command) in questions) {
            assertFalse(JobState.DONE in told(step(command())), question)
        }
        failOver()
        assertEquals(JobState.QUEUED, state(asks(1)))
    }

    @Test
    fun `an end that is archived with its own record is told once that is committed, and by the next leader`() {
        endsWithTrimUncommitted()
        val cancellation = step(Input.Cancel(request(), job))
        assertEquals(emptyList<JobState?>(), told(cancellation))
        assertEquals(listOf(JobState.DONE), told(stateServiceBack()))
        assertEquals(JobState.DONE, state(asks(1)))
        failOver()
        for ((question, command) in questions) assertEquals(listOf(JobState.DONE), told(step(command())), question)
    }

    /** The same for a cancelled job, whose last attempt ends with the trim. */
    @Test
    fun `a cancelled job that is archived stays cancelled whether or not that is committed`() {
        lead()
        runs(1)
        machine.reports()
        assertTrue(cancelled(aborts(1)))
        stateServiceOut = true
        at(nowMs + timings.trimMs)
        machine.reports()
        machine.reports()
        assertEquals(listOf(JobState.CANCELLED), told(step(Input.Poll(request(), job))))
        failOver()
        assertEquals(JobState.CANCELLED, state(asks(1)))
    }
}
