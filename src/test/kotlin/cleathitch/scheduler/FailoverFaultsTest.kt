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

/** Failovers combined with completing tasks, late heartbeats, lost machines and lost replies. */
class FailoverFaultsTest : CombinedFaultsHarness() {
    /** The first task's result is committed, and its machine no longer reports it; the second task completes under the next leader. */
    @Test
    fun `a job whose two tasks complete before and after a failover is done once both are`() {
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

    /** The stored records still list the other attempt as live. */
    @Test
    fun `a task completed by another attempt isn't started again after a failover`() {
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
    fun `after all controllers were down for longer than a worker's lease, an attempt is restarted on its machine, once`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)
        advanceTo(nowMs + (deployment.workerLeaseS * 1500).toLong())
        machine.expireLease()

        failOver()

        assertEquals(listOf(attempt), machine.sendHeartbeat().startedAttempts())
        assertEquals(emptyList<AttemptId>(), (machine.sendHeartbeat() + runRounds(4)).startedAttempts())
    }

    /** The new leader's first heartbeat from the machine was sent before the task started, so it doesn't list the attempt. */
    @Test
    fun `a heartbeat sent before a start and received after a failover doesn't cause a second attempt`() {
        becomeLeaderWithFleet()
        val delayedHeartbeat = machine.heartbeat()
        val (attempt) = startJob(1)
        failOver()

        sendHeartbeat(delayedHeartbeat)
        val effects = runIntervals(2, listOf(fakeMachine(2)))

        assertEquals(emptyList<AttemptId>(), effects.startedAttempts().filter { it.task == attempt.task && it != attempt })
        assertTrue(machine.sendHeartbeat().any { it is Effect.AnswerHeartbeat })
    }

    /** Each leader inherits worker leases that outlast its term, so only the cloud provider's confirmation allows a restart of the task. */
    @Test
    fun `the task of a terminated machine is restarted although each term lasts only a dozen seconds`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)
        val other = fakeMachine(2)

        val effects = (1..4).flatMap {
            failOver()
            step(Input.MachinesListed(listOf(listedMachine(0), listedMachine(2))))
            val termEffects = runIntervals(4, listOf(other))
            val terminated = termEffects.terminatedMachines().toList()
            termEffects + if (terminated.isEmpty()) emptyList() else step(Input.MachinesTerminated(terminated)) + runRounds(2)
        }

        assertEquals(attempt.task, effects.startedAttempts().firstOrNull()?.task)
    }

    /** The task may run there until the lease that the old leader renewed has certainly expired, so it isn't started elsewhere. */
    @Test
    fun `a task on a machine that misses the new leader's replies isn't started elsewhere while it runs`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)
        failOver()
        val other = fakeMachine(2)

        val effects = (1..intervalsUntilLeaseExpiry * 2).flatMap {
            machine.sendHeartbeat(missesReplies = true) + runIntervals(1, listOf(other))
        }

        assertEquals(emptyList<AttemptId>(), effects.startedAttempts().filter { it.task == attempt.task && it != attempt })
    }

    /** If the machine kept counting as starting, its capacity would prevent other machines from being rented. */
    @Test
    fun `a machine that is listed after a failover and never sends a heartbeat is terminated`() {
        becomeLeaderWithFleet()
        failOver()
        step(Input.MachinesListed(listOf(listedMachine(4))))

        val effects = runIntervals(intervalsUntilLeaseExpiry + 6)

        assertTrue(MachineId("vm-000004") in effects.terminatedMachines())
    }
}
