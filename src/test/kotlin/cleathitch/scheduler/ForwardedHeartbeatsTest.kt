package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.ListedState
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * The leader decides about a heartbeat that a follower forwards exactly as about one that it receives itself. An unchanged
 * heartbeat stands for the full one that it is based on.
 */
class ForwardedHeartbeatsTest : SchedulerHarness() {
    @Test
    fun `an unchanged heartbeat renews what its base showed`() {
        startOneTask()

        val effects = (1L..20).flatMap { interval ->
            advanceTo(nowMs + heartbeatIntervalMs)
            val decision = forward(unchanged(0, sequenceNumber = 2 + interval, baseSequenceNumber = 1 + interval)).single()
            assertTrue(decision is HeartbeatDecision.Answer)
            runRounds(1)
        }

        assertTrue(nowMs > workerLeaseMs)
        assertEquals(emptyList<Effect>(), effects.filterIsInstance<Effect.TerminateMachines>())
        assertEquals(emptyList<DirectStart>(), effects.directStarts())
    }

    /** A heartbeat that reached the leader by another way changed what the follower takes for known. */
    @Test
    fun `an unchanged heartbeat whose base isn't the last one received is answered with a request for the full one`() {
        becomeLeaderOf(machines = 1)
        forward(full(heartbeat(0, sequenceNumber = 2)))
        sendHeartbeat(heartbeat(0, sequenceNumber = 3))

        val decision = forward(unchanged(0, sequenceNumber = 4, baseSequenceNumber = 2)).single()

        assertEquals(HeartbeatDecision.RequestFull, decision)
    }

    @Test
    fun `an unchanged heartbeat of another incarnation, unknown machine or earlier term is answered with a request for the full one`() {
        becomeLeaderOf(machines = 1)
        forward(full(heartbeat(0, sequenceNumber = 2)))

        val ofOtherIncarnation = forward(unchanged(0, sequenceNumber = 3, baseSequenceNumber = 2, incarnation = 2)).single()
        val ofUnknownMachine = forward(unchanged(5, sequenceNumber = 3, baseSequenceNumber = 2)).single()
        failOver()
        val ofEarlierTerm = forward(unchanged(0, sequenceNumber = 3, baseSequenceNumber = 2)).single()

        assertEquals(HeartbeatDecision.RequestFull, ofOtherIncarnation)
        assertEquals(HeartbeatDecision.RequestFull, ofUnknownMachine)
        assertEquals(HeartbeatDecision.RequestFull, ofEarlierTerm)
    }

    /** As when a batch is delivered twice, or a copy of a heartbeat reaches a second follower. */
    @Test
    fun `a repeated heartbeat isn't answered again, and the rest of its batch is`() {
        becomeLeaderOf(machines = 2)

        val first = forward(full(heartbeat(0, sequenceNumber = 2)), full(heartbeat(1, sequenceNumber = 2)))
        val second = forward(full(heartbeat(0, sequenceNumber = 2)), full(heartbeat(1, sequenceNumber = 3)))

        assertTrue(first.all { it is HeartbeatDecision.Answer })
        assertEquals(HeartbeatDecision.Refuse, second[0])
        assertTrue(second[1] is HeartbeatDecision.Answer)
    }

    /** The worker's lease runs from when it sent the heartbeat, which is earlier; the leader must count from the arrival. */
    @Test
    fun `a delayed heartbeat keeps its machine's tasks for a lease from its arrival`() {
        startOneTask()
        advanceTo(nowMs + workerLeaseMs / 2)
        forward(unchanged(0, sequenceNumber = 3, baseSequenceNumber = 2))
        val leaseEndMs = nowMs + workerLeaseMs

        var token = FencingToken.first(revision)
        val startsMs = ArrayList<Long>()
        while (nowMs < leaseEndMs * 2) {
            token = sendHeartbeat(heartbeat(1, sequenceNumber = nowMs, token)).heartbeatAnswers().single().token
            if (runRounds(1).directStarts().isNotEmpty()) startsMs += nowMs
        }

        assertTrue(startsMs.isNotEmpty() && startsMs.first() >= leaseEndMs) { "$startsMs, the lease may run until $leaseEndMs" }
    }

    /** Without a lease of its own a leader answers for a bounded time, through followers too. */
    @Test
    fun `forwarded heartbeats are refused once the leader's grace is over`() {
        becomeLeaderOf(machines = 1, leaseUntilMs = 1000)

        advanceTo(1000 + timings.graceMs - 1)
        assertTrue(forward(full(heartbeat(0, sequenceNumber = 2))).single() is HeartbeatDecision.Answer)

        advanceTo(1000 + timings.graceMs)
        assertEquals(HeartbeatDecision.Refuse, forward(full(heartbeat(0, sequenceNumber = 3))).single())
        assertEquals(HeartbeatDecision.Refuse, forward(unchanged(0, sequenceNumber = 4, baseSequenceNumber = 3)).single())
    }

    /** A machine that shows a higher token was answered by a newer leader; nothing after it in the batch is answered either. */
    @Test
    fun `a higher fencing token in a batch ends the term and refuses the whole batch`() {
        becomeLeaderOf(machines = 2)
        val newer = heartbeat(0, sequenceNumber = 2, token = FencingToken.first(revision + 1000))

        val effects = step(Input.FollowerBatchReceived(request(), listOf(full(newer), full(heartbeat(1, sequenceNumber = 2)))))

        assertEquals(1, effects.stepDowns().size)
        assertEquals(List(2) { HeartbeatDecision.Refuse }, effects.followerAnswers().single().decisions)
    }

    @Test
    fun `a terminated machine gets no answer through a follower`() {
        becomeLeaderOf(machines = 1)
        step(Input.MachinesListed(listOf(listedMachine(0, ListedState.FAILED))))
        runRounds(40)
        step(Input.MachinesTerminated(listOf(machineId(0))))

        assertEquals(HeartbeatDecision.Refuse, forward(full(heartbeat(0, sequenceNumber = 2))).single())
        assertEquals(HeartbeatDecision.Refuse, forward(unchanged(0, sequenceNumber = 3, baseSequenceNumber = 1)).single())
    }

    private fun forward(vararg heartbeats: ForwardedHeartbeat): List<HeartbeatDecision> =
        step(Input.FollowerBatchReceived(request(), heartbeats.toList())).followerAnswers().single().decisions

    private fun full(heartbeat: Heartbeat) = ForwardedHeartbeat.Full(heartbeat)

    private fun unchanged(machine: Int, sequenceNumber: Long, baseSequenceNumber: Long, incarnation: Long = 1) =
        ForwardedHeartbeat.Unchanged(
            machineId(machine),
            incarnation,
            sequenceNumber,
            FencingToken.first(revision),
            preemptionNoticeS = null,
            baseSequenceNumber,
        )

    /** One machine with the only task there is, which a follower's heartbeat shows as running. */
    private fun startOneTask(): AttemptId {
        becomeLeaderOf(machines = 1)
        submitJobs(1, tasks = 1)
        val call = runRounds(3).directCalls().first { call -> call.commands.any { it is WorkerCommand.Start } }
        val attempt = call.commands.single().attempt
        forward(full(heartbeat(0, sequenceNumber = 2).copy(tasks = listOf(TaskStatus(attempt, TaskState.RUNNING)))))
        return attempt
    }
}
