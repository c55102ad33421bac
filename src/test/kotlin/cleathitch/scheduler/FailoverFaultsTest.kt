package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Leaders that change while something else happens. */
class FailoverFaultsTest : CombinedFaultsHarness() {
    /** The first task's result is recorded and cleared from its machine; the second ends under another leader. */
    @Test
    fun `a job of two tasks whose ends lie on both sides of a take-over is done once both are`() {
        lead()
        val (first, second) = runs(1, tasks = 2)
        machine.tasks[first] = TaskStatus(first, TaskState.EXITED, ExitReason.DONE)
        machine.reports()
        settle(rounds = 1)
        machine.reports()
        assertEquals(setOf(second), machine.tasks.keys)
        failOver()
        machine.reports()
        assertEquals(1, (asks(1) as UserReply.Status).done)
        machine.ends()
        machine.reports()
        settle(rounds = 1)
        assertEquals(JobState.DONE, (asks(1) as UserReply.Status).state)
    }

    /** The task ended and is done; its other attempt, which the records still show, isn't started once more. */
    @Test
    fun `what another attempt has done isn't started again after a take-over`() {
        lead()
        val (attempt) = runs(1, tasks = 2)
        val older = AttemptId(attempt.task, 77)
        machine.tasks[older] = TaskStatus(older, TaskState.EXITED, ExitReason.DONE)
        step(Input.HeartbeatReceived(request(), machine.shown()))
        settle(rounds = 2)
        machine.tasks.clear()
        failOver()
        assertEquals(emptyList<AttemptId>(), starts(machine.reports()).filter { it.task == attempt.task })
    }

    @Test
    fun `after all nodes were away for longer than a lease, what ran is started again where it was, once`() {
        lead()
        val (attempt) = runs(1)
        at(nowMs + (deployment.leaseS * 1500).toLong())
        machine.losesLease()
        failOver()
        assertEquals(listOf(attempt), starts(machine.reports()))
        assertEquals(emptyList<AttemptId>(), starts(machine.reports() + settle(rounds = 4)))
    }

    /** Its session began after the report was sent, and a successor hears the held report first. */
    @Test
    fun `a report held until a new leader has acted proves nothing about what was started since`() {
        lead()
        val held = machine.shown()
        val (attempt) = runs(1)
        failOver()
        step(Input.HeartbeatReceived(request(), held))
        val other = Machine(2)
        val effects = periods(2, others = listOf(other))
        assertEquals(emptyList<AttemptId>(), starts(effects).filter { it.task == attempt.task && it != attempt })
        assertTrue(machine.reports().any { it is Effect.AnswerHeartbeat })
    }

    /** Each inherits leases anew, for longer than it leads itself: the cloud's word is what frees the tasks. */
    @Test
    fun `leaders of a dozen seconds each bring back the task of a machine that died`() {
        lead()
        val (attempt) = runs(1)
        val other = Machine(2)
        val again = (1..4).flatMap {
            failOver()
            step(Input.MachinesListed(listOf(listed(0), listed(2))))
            val effects = periods(4, others = listOf(other))
            effects +
                returned(effects).toList().let {
                    if (it.isEmpty()) emptyList() else step(Input.MachinesTerminated(it)) + settle(rounds = 2)
                }
        }
        assertEquals(attempt.task, starts(again).firstOrNull()?.task)
    }

    /** It may run there until the old leader's last answer has surely run out, so it is started nowhere else. */
    @Test
    fun `tasks on machines that don't hear the new leader are left alone while they run`() {
        lead()
        val (attempt) = runs(1)
        failOver()
        val other = Machine(2)
        val effects = (1..leasePeriods * 2).flatMap { machine.reports(missesReplies = true) + periods(1, others = listOf(other)) }
        assertEquals(emptyList<AttemptId>(), starts(effects).filter { it.task == attempt.task && it != attempt })
    }

    /** It is listed as running and never again: counted as on its way it would keep others from being rented. */
    @Test
    fun `a machine taken before its first report doesn't stand for room for ever`() {
        lead()
        failOver()
        step(Input.MachinesListed(listOf(listed(4))))
        assertTrue(MachineId("vm-000004") in returned(periods(leasePeriods + 6)))
    }
}
