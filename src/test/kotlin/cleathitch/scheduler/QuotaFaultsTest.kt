package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.AttemptId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * A team's limit of two tasks, combined with failovers and lost replies. A task counts against the limit until it has certainly
 * stopped.
 */
class QuotaFaultsTest : CombinedFaultsHarness(maxCpus = 4.0) {
    /** The machine of the cancelled tasks sends no heartbeat after the failover, so only the passage of time frees the team's quota. */
    @Test
    fun `cancelled tasks on a silent machine count against the limit until grace period, lease and margin are over, and no longer`() {
        becomeLeaderWithFleet()
        startJob(1, tasks = 2)
        failOver()
        assertTrue(confirmsCancellation(cancel(1)))
        submit(2)
        val other = fakeMachine(2)
        val boundMs = timings.graceMs + workerLeaseMs + timings.leaseMarginMs

        val withinBound = runPeriods((boundMs / heartbeatPeriodMs - 1).toInt(), listOf(other))
        val afterBound = runPeriods(6, listOf(other))

        assertEquals(emptyList<AttemptId>(), withinBound.startedAttempts())
        assertEquals(listOf(taskId(2)), afterBound.startedTasks())
    }

    /** The machine may still execute the start commands until it reports a higher fencing token than theirs. */
    @Test
    fun `unreported starts of a cancelled job count against the limit until the machine reports a higher fencing token`() {
        becomeLeaderWithFleet()
        submit(1, tasks = 2)
        runRounds(2)
        cancel(1)
        submit(2)

        val beforeToken = machine.sendHeartbeat(missesReplies = true) + runRounds(2)
        machine.sendHeartbeat()
        val afterToken = runPeriods(2)

        assertNoStartsOf(2, beforeToken)
        assertEquals(listOf(taskId(2)), afterToken.startedTasks())
    }

    /**
     * The machine misses all replies and so never reports a newer fencing token, but in its new incarnation it rejects all commands
     * that were sent before.
     */
    @Test
    fun `a cancelled task on a machine that misses replies counts against the limit until its incarnation ends`() {
        becomeLeaderWithFleet()
        startJob(1, tasks = 2)
        cancel(1)
        submit(2)

        repeat(2) { assertNoStartsOf(2, machine.sendHeartbeat(missesReplies = true) + runRounds(2)) }
        machine.expireLease()
        machine.sendHeartbeat(missesReplies = true)
        val afterNewIncarnation = runPeriods(2, listOf(fakeMachine(2)))

        assertEquals(listOf(taskId(2)), afterNewIncarnation.startedTasks())
    }

    private fun List<Effect>.startedTasks() = startedAttempts().map { it.task }.distinct()

    private fun assertNoStartsOf(job: Int, effects: List<Effect>) =
        assertEquals(emptyList<AttemptId>(), effects.startedAttempts().filter { it.task == taskId(job) })
}
