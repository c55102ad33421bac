package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.ListedState
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The leader decides about a report that a follower hands on exactly as about one that comes to it directly. */
class ForwardedHeartbeatsTest : SchedulerHarness() {
    private fun forward(vararg reports: ForwardedHeartbeat): List<HeartbeatDecision> =
        step(Input.FollowerBatchReceived(request(), reports.toList())).filterIsInstance<Effect.AnswerFollower>().single().decisions

    private fun whole(report: Heartbeat) = ForwardedHeartbeat.Full(report)

    private fun heartbeat(machine: Int, sequenceNumber: Long, baseSequenceNumber: Long, incarnation: Long = 1) =
        ForwardedHeartbeat.Unchanged(
            report(machine).machine,
            incarnation,
            sequenceNumber,
            FencingToken.first(revision),
            preemptionNoticeS = null,
            baseSequenceNumber,
        )

    /** The machines on which tasks start by orders sent directly. */
    private fun started(effects: List<Effect>) = effects.filterIsInstance<Effect.SendCommands>()
        .filter { push -> push.commands.any { it is WorkerCommand.Start } }.map { it.machine }

    private fun reportsTask(machine: Int, sequenceNumber: Long, attempt: AttemptId) =
        report(machine, sequenceNumber).copy(tasks = listOf(TaskStatus(attempt, TaskState.RUNNING)))

    /** One machine with the only task there is, which a follower has reported as running. */
    private fun oneRunningTask(): AttemptId {
        machines(1)
        submit(jobs = 1, tasks = 1)
        val push = settle(rounds = 3).filterIsInstance<Effect.SendCommands>().first { push ->
            push.commands.any { it is WorkerCommand.Start }
        }
        val attempt = push.commands.single().attempt
        forward(whole(reportsTask(0, sequenceNumber = 2, attempt)))
        return attempt
    }

    @Test
    fun `a heartbeat renews what its base said`() {
        oneRunningTask()
        val leaseMs = (deployment.leaseS * 1000).toLong()
        val effects = (1L..20).flatMap { period ->
            at(nowMs + (deployment.reportS * 1000).toLong())
            assertTrue(
                forward(heartbeat(0, sequenceNumber = 2 + period, baseSequenceNumber = 1 + period)).single() is HeartbeatDecision.Answer,
            )
            settle(rounds = 1)
        }
        assertTrue(nowMs > leaseMs)
        assertEquals(emptyList<Effect>(), effects.filterIsInstance<Effect.TerminateMachines>())
        assertEquals(emptyList<MachineId>(), started(effects))
    }

    /** A report that reached the leader by another way changed what the heartbeat's sender takes for known. */
    @Test
    fun `a heartbeat whose base isn't the last report heard is answered by a call for the whole`() {
        machines(1)
        forward(whole(report(0, sequenceNumber = 2)))
        step(Input.HeartbeatReceived(request(), report(0, sequenceNumber = 3)))
        assertEquals(HeartbeatDecision.RequestFull, forward(heartbeat(0, sequenceNumber = 4, baseSequenceNumber = 2)).single())
    }

    @Test
    fun `a heartbeat of another session, of an unknown machine or before a take-over is answered by a call for the whole`() {
        machines(1)
        forward(whole(report(0, sequenceNumber = 2)))
        assertEquals(
            HeartbeatDecision.RequestFull,
            forward(heartbeat(0, sequenceNumber = 3, baseSequenceNumber = 2, incarnation = 2)).single(),
        )
        assertEquals(HeartbeatDecision.RequestFull, forward(heartbeat(5, sequenceNumber = 3, baseSequenceNumber = 2)).single())
        failOver()
        assertEquals(HeartbeatDecision.RequestFull, forward(heartbeat(0, sequenceNumber = 3, baseSequenceNumber = 2)).single())
    }

    /** As when a batch is delivered twice, or a report's copy reaches a second node. */
    @Test
    fun `the same report isn't answered a second time, and doesn't spoil the rest of its batch`() {
        machines(2)
        val first = forward(whole(report(0, sequenceNumber = 2)), whole(report(1, sequenceNumber = 2)))
        assertTrue(first.all { it is HeartbeatDecision.Answer })
        val second = forward(whole(report(0, sequenceNumber = 2)), whole(report(1, sequenceNumber = 3)))
        assertEquals(HeartbeatDecision.Refuse, second[0])
        assertTrue(second[1] is HeartbeatDecision.Answer)
    }

    /** The worker's lease runs from when it sent the report, which is earlier; the leader's bound must not be. */
    @Test
    fun `a report held up on its way keeps its machine's tasks for a lease from its arrival`() {
        oneRunningTask()
        at(nowMs + (deployment.leaseS * 1000).toLong() / 2)
        forward(heartbeat(0, sequenceNumber = 3, baseSequenceNumber = 2))
        val leaseEndMs = nowMs + (deployment.leaseS * 1000).toLong()
        var shown = FencingToken.first(revision)
        val starts = ArrayList<Long>()
        while (nowMs < leaseEndMs * 2) {
            val answers = step(Input.HeartbeatReceived(request(), report(1, sequenceNumber = nowMs, token = shown)))
            shown = answers.filterIsInstance<Effect.AnswerHeartbeat>().single().token
            if (started(settle(rounds = 1)).isNotEmpty()) starts += nowMs
        }
        assertTrue(starts.isNotEmpty() && starts.first() >= leaseEndMs) { "$starts, the lease may run until $leaseEndMs" }
    }

    /** Without a lease of its own a leader answers for a bounded time, through followers too. */
    @Test
    fun `nothing is answered through followers once the grace is over`() {
        machines(1, validUntilMs = 1000)
        at(1000 + timings.graceMs - 1)
        assertTrue(forward(whole(report(0, sequenceNumber = 2))).single() is HeartbeatDecision.Answer)
        at(1000 + timings.graceMs)
        assertEquals(HeartbeatDecision.Refuse, forward(whole(report(0, sequenceNumber = 3))).single())
        assertEquals(HeartbeatDecision.Refuse, forward(heartbeat(0, sequenceNumber = 4, baseSequenceNumber = 3)).single())
    }

    /** Whoever has seen a higher version has met a newer leader; what comes after it in the batch gets nothing either. */
    @Test
    fun `a higher version in a batch ends the term and the answers`() {
        machines(2)
        val newer = report(0, sequenceNumber = 2, token = FencingToken.first(revision + 1000))
        val effects = step(Input.FollowerBatchReceived(request(), listOf(whole(newer), whole(report(1, sequenceNumber = 2)))))
        assertEquals(1, effects.filterIsInstance<Effect.StepDown>().size)
        assertEquals(List(2) { HeartbeatDecision.Refuse }, effects.filterIsInstance<Effect.AnswerFollower>().single().decisions)
    }

    @Test
    fun `a machine that was returned gets no answer through a follower`() {
        machines(1)
        step(Input.MachinesListed(listOf(listed(0, ListedState.FAILED))))
        settle(rounds = 40)
        step(Input.MachinesTerminated(listOf(report(0).machine)))
        assertEquals(HeartbeatDecision.Refuse, forward(whole(report(0, sequenceNumber = 2))).single())
        assertEquals(HeartbeatDecision.Refuse, forward(heartbeat(0, sequenceNumber = 3, baseSequenceNumber = 1)).single())
    }
}
