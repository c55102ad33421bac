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

/** Failovers together with ends of tasks, late heartbeats, lost machines and lost replies. */
class FailoverFaultsTest : CombinedFaultsHarness() {
    /** The first task's result is committed and forgotten by its machine; the second ends under the next leader. */
    @Test
    fun `a job of two tasks that end before and after a failover is done once both are`() {
        lead()
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

    /** The stored records still show the other attempt as live. */
    @Test
    fun `a task completed by another attempt isn't started again after a failover`() {
        lead()
        val (attempt) = startJob(1, tasks = 2)
        machine.exit(AttemptId(attempt.task, 77), ExitReason.DONE)
        sendHeartbeat(machine.heartbeat())
        runRounds(2)
        machine.dropTasks()

        failOver()

        assertEquals(emptyList<AttemptId>(), machine.sendHeartbeat().startedAttempts().filter { it.task == attempt.task })
    }

    @Test
    fun `after all controllers were down for longer than a worker's lease, an attempt is started again on its machine, once`() {
        lead()
        val (attempt) = startJob(1)
        advanceTo(nowMs + (deployment.leaseS * 1500).toLong())
        machine.expireLease()

        failOver()

        assertEquals(listOf(attempt), machine.sendHeartbeat().startedAttempts())
        assertEquals(emptyList<AttemptId>(), (machine.sendHeartbeat() + runRounds(4)).startedAttempts())
    }

    /** The heartbeat was sent before the start, and the new leader receives it first. */
    @Test
    fun `a heartbeat held until after a failover isn't taken to lack what was started since`() {
        lead()
        val held = machine.heartbeat()
        val (attempt) = startJob(1)
        failOver()

        sendHeartbeat(held)
        val effects = runIntervals(2, listOf(fakeMachine(2)))

        assertEquals(emptyList<AttemptId>(), effects.startedAttempts().filter { it.task == attempt.task && it != attempt })
        assertTrue(machine.sendHeartbeat().any { it is Effect.AnswerHeartbeat })
    }

    /** Each leader takes over leases that outlast its own term, so only the cloud's confirmation frees the tasks. */
    @Test
    fun `leaders that lead for a dozen seconds each restart the task of a machine that ended`() {
        lead()
        val (attempt) = startJob(1)
        val other = fakeMachine(2)

        val effects = (1..4).flatMap {
            failOver()
            step(Input.MachinesListed(listOf(listedMachine(0), listedMachine(2))))
            val inTerm = runIntervals(4, listOf(other))
            val terminated = inTerm.terminatedMachines().toList()
            inTerm + if (terminated.isEmpty()) emptyList() else step(Input.MachinesTerminated(terminated)) + runRounds(2)
        }

        assertEquals(attempt.task, effects.startedAttempts().firstOrNull()?.task)
    }

    /** A task may run there until the old leader's last answer has surely expired, so it is started nowhere else. */
    @Test
    fun `tasks on machines that miss the new leader's replies are left alone while they run`() {
        lead()
        val (attempt) = startJob(1)
        failOver()
        val other = fakeMachine(2)

        val effects = (1..intervalsPerLease * 2).flatMap { machine.sendHeartbeat(missesReplies = true) + runIntervals(1, listOf(other)) }

        assertEquals(emptyList<AttemptId>(), effects.startedAttempts().filter { it.task == attempt.task && it != attempt })
    }

    /** Counted as starting, it would keep others from being rented. */
    @Test
    fun `a machine that is listed after a failover and never sends a heartbeat is terminated`() {
        lead()
        failOver()
        step(Input.MachinesListed(listOf(listedMachine(4))))

        val effects = runIntervals(intervalsPerLease + 6)

        assertTrue(MachineId("vm-000004") in effects.terminatedMachines())
    }
}
