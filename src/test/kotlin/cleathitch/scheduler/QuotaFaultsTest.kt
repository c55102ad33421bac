package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.AttemptId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A team's limit, of two tasks, together with failovers and lost replies: a task counts until it surely doesn't run any more. */
class QuotaFaultsTest : CombinedFaultsHarness(maxCpus = 4.0) {
    /** The machine of the cancelled tasks sends no heartbeat after the failover, so only time frees the team's quota. */
    @Test
    fun `a team at its limit waits for cancelled tasks on a silent machine until grace, lease and margin are over, and no longer`() {
        lead()
        startJob(1, tasks = 2)
        failOver()
        assertTrue(confirmsCancellation(cancel(1)))
        submit(2)
        val other = fakeMachine(2)
        val boundMs = timings.graceMs + workerLeaseMs + timings.leaseMarginMs

        val withinBound = runIntervals((boundMs / heartbeatIntervalMs - 1).toInt(), listOf(other))
        val afterBound = runIntervals(6, listOf(other))

        assertEquals(emptyList<AttemptId>(), withinBound.startedAttempts())
        assertEquals(listOf(taskOf(2)), afterBound.startedTasks())
    }

    /** The start commands may still arrive until the machine shows a higher fencing token than theirs. */
    @Test
    fun `cancelled starts that no heartbeat shows count until a higher fencing token shuts them out`() {
        lead()
        submit(1, tasks = 2)
        runRounds(2)
        cancel(1)
        submit(2)

        val beforeToken = machine.sendHeartbeat(missesReplies = true) + runRounds(2)
        machine.sendHeartbeat()
        val afterToken = runIntervals(2)

        assertStartsNothingOf(2, beforeToken)
        assertEquals(listOf(taskOf(2)), afterToken.startedTasks())
    }

    /** It shows no token of this term as it misses all replies, but its new incarnation shuts out all that was sent before. */
    @Test
    fun `a cancelled task on a machine that misses replies counts until its incarnation ends`() {
        lead()
        startJob(1, tasks = 2)
        cancel(1)
        submit(2)

        repeat(2) { assertStartsNothingOf(2, machine.sendHeartbeat(missesReplies = true) + runRounds(2)) }
        machine.expireLease()
        machine.sendHeartbeat(missesReplies = true)
        val afterIncarnation = runIntervals(2, listOf(fakeMachine(2)))

        assertEquals(listOf(taskOf(2)), afterIncarnation.startedTasks())
    }

    private fun List<Effect>.startedTasks() = startedAttempts().map { it.task }.distinct()

    private fun assertStartsNothingOf(job: Int, effects: List<Effect>) =
        assertEquals(emptyList<AttemptId>(), effects.startedAttempts().filter { it.task == taskOf(job) })
}
