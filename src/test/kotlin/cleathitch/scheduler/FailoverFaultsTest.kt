package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.MachineId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Failovers combined with completing tasks, delayed heartbeats, lost machines and lost replies. */
class FailoverFaultsTest : CombinedFaultsHarness() {
    /** The first task's completion is committed, and the machine no longer reports that task when the next leader takes over. */
    @Test
    fun `a job is done when one of its tasks completes before a failover and the other after it`() {
        becomeLeaderWithFleet()
        val (first, second) = startJob(1, tasks = 2)
        machine.exit(first, ExitReason.DONE)
        machine.sendHeartbeat()
        runRounds(1)
        machine.sendHeartbeat()
        assertEquals(setOf(second), machine.attempts)

        failOver()
        machine.sendHeartbeat()
        assertEquals(1, statusOf(1).done)
        machine.completeTasks()
        machine.sendHeartbeat()
        runRounds(1)

        assertEquals(JobState.DONE, statusOf(1).state)
    }

    /** The attempt that the stored records list as live isn't the one that completed the task. */
    @Test
    fun `a task isn't started again after a failover if an attempt other than the recorded one completed it`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1, tasks = 2)
        machine.exit(AttemptId(attempt.task, 77), ExitReason.DONE)
        sendHeartbeat(machine.heartbeat())
        runRounds(2)
        machine.dropTasks()

        failOver()

        assertEquals(emptyList<AttemptId>(), machine.sendHeartbeat().startedAttempts().filter { it.task == attempt.task })
    }

    @Test
    fun `an attempt is restarted exactly once, on its machine, after all controllers were down for longer than a worker's lease`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)
        advanceTo(nowMs + (deployment.workerLeaseS * 1500).toLong())
        machine.expireLease()

        failOver()

        assertEquals(listOf(attempt), machine.sendHeartbeat().startedAttempts())
        assertEquals(emptyList<AttemptId>(), (machine.sendHeartbeat() + runRounds(4)).startedAttempts())
    }

    /** The first heartbeat that the new leader receives was sent before the task started, so it doesn't list the attempt. */
    @Test
    fun `a heartbeat sent before a start and received after a failover doesn't cause a second attempt`() {
        becomeLeaderWithFleet()
        val delayedHeartbeat = machine.heartbeat()
        val (attempt) = startJob(1)
        failOver()

        sendHeartbeat(delayedHeartbeat)
        val effects = runPeriods(2, listOf(fakeMachine(2)))

        assertEquals(emptyList<AttemptId>(), effects.startedAttempts().filter { it.task == attempt.task && it != attempt })
        assertTrue(machine.sendHeartbeat().any { it is Effect.AnswerHeartbeat })
    }

    /** The inherited worker leases outlast each term, so the task can restart only once the cloud provider confirms the termination. */
    @Test
    fun `the task of a terminated machine is restarted although each term lasts only a dozen seconds`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)
        val other = fakeMachine(2)

        val effects = (1..4).flatMap {
            failOver()
            step(Input.MachinesListed(listOf(listedMachine(0), listedMachine(2))))
            val termEffects = runPeriods(4, listOf(other))
            val terminated = termEffects.terminatedMachines().toList()
            termEffects + if (terminated.isEmpty()) emptyList() else step(Input.MachinesTerminated(terminated)) + runRounds(2)
        }

        assertEquals(attempt.task, effects.startedAttempts().firstOrNull()?.task)
    }

    /** The earlier leader renewed the worker's lease. Until that expires, the task may run, and the heartbeats report it as running. */
    @Test
    fun `a task on a machine that misses the new leader's replies isn't started elsewhere while it runs`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)
        failOver()
        val other = fakeMachine(2)

        val effects = (1..periodsUntilLeaseExpiry * 2).flatMap {
            machine.sendHeartbeat(missesReplies = true) + runPeriods(1, listOf(other))
        }

        assertEquals(emptyList<AttemptId>(), effects.startedAttempts().filter { it.task == attempt.task && it != attempt })
    }

    /** If the machine counted as starting forever, its expected capacity would keep the leader from renting other machines. */
    @Test
    fun `a machine that is listed after a failover and never sends a heartbeat is terminated`() {
        becomeLeaderWithFleet()
        failOver()
        step(Input.MachinesListed(listOf(listedMachine(4))))

        val effects = runPeriods(periodsUntilLeaseExpiry + 6)

        assertTrue(MachineId("vm-000004") in effects.terminatedMachines())
    }
}
