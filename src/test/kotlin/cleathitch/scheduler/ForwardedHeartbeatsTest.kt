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
 * The leader handles a heartbeat that a follower forwards exactly like one that it receives directly. An unchanged heartbeat
 * is sent as its difference from an earlier one, its base.
 */
class ForwardedHeartbeatsTest : SchedulerHarness() {
    @Test
    fun `an unchanged heartbeat counts as a repetition of its base`() {
        startOneTask()

        val effects = (1L..20).flatMap { period ->
            advanceTo(nowMs + heartbeatPeriodMs)
            val decision = forward(unchanged(0, sequenceNumber = 2 + period, baseSequenceNumber = 1 + period)).single()
            assertTrue(decision is HeartbeatDecision.Answer)
            runRounds(1)
        }

        assertTrue(nowMs > workerLeaseMs)
        assertEquals(emptyList<Effect>(), effects.filterIsInstance<Effect.TerminateMachines>())
        assertEquals(emptyList<DirectStart>(), effects.directStarts())
    }

    /** A heartbeat that reached the leader by another path replaced the base that the follower relies on. */
    @Test
    fun `an unchanged heartbeat whose base isn't the last one received is answered with a request for the full one`() {
        becomeLeaderWithFleet(machines = 1)
        forward(full(heartbeat(0, sequenceNumber = 2)))
        sendHeartbeat(heartbeat(0, sequenceNumber = 3))

        val decision = forward(unchanged(0, sequenceNumber = 4, baseSequenceNumber = 2)).single()

        assertEquals(HeartbeatDecision.RequestFull, decision)
    }

    @Test
    fun `an unchanged heartbeat of another incarnation, unknown machine or earlier term is answered with a request for the full one`() {
        becomeLeaderWithFleet(machines = 1)
        forward(full(heartbeat(0, sequenceNumber = 2)))

        val otherIncarnationDecision = forward(unchanged(0, sequenceNumber = 3, baseSequenceNumber = 2, incarnation = 2)).single()
        val unknownMachineDecision = forward(unchanged(5, sequenceNumber = 3, baseSequenceNumber = 2)).single()
        failOver()
        val earlierTermDecision = forward(unchanged(0, sequenceNumber = 3, baseSequenceNumber = 2)).single()

        assertEquals(HeartbeatDecision.RequestFull, otherIncarnationDecision)
        assertEquals(HeartbeatDecision.RequestFull, unknownMachineDecision)
        assertEquals(HeartbeatDecision.RequestFull, earlierTermDecision)
    }

    /** This happens when a batch is delivered twice, or when a copy of a heartbeat reaches a second follower. */
    @Test
    fun `a repeated heartbeat is refused, and the rest of its batch is answered`() {
        becomeLeaderWithFleet(machines = 2)

        val first = forward(full(heartbeat(0, sequenceNumber = 2)), full(heartbeat(1, sequenceNumber = 2)))
        val second = forward(full(heartbeat(0, sequenceNumber = 2)), full(heartbeat(1, sequenceNumber = 3)))

        assertTrue(first.all { it is HeartbeatDecision.Answer })
        assertEquals(HeartbeatDecision.Refuse, second[0])
        assertTrue(second[1] is HeartbeatDecision.Answer)
    }

    /** The worker's lease begins when it sends the heartbeat. The leader knows only the later time of arrival and must count from that. */
    @Test
    fun `once a delayed heartbeat arrives, its machine's tasks aren't started elsewhere for a full lease duration`() {
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

        assertTrue(startsMs.isNotEmpty() && startsMs.first() >= leaseEndMs) {
            "starts at $startsMs ms, expected the first at $leaseEndMs ms or later"
        }
    }

    /** Once its lease has expired, a leader answers heartbeats only for a bounded time, whether they are forwarded or direct. */
    @Test
    fun `forwarded heartbeats are refused once the leader's grace period is over`() {
        becomeLeaderWithFleet(machines = 1, leaseUntilMs = 1000)

        advanceTo(1000 + timings.graceMs - 1)
        assertTrue(forward(full(heartbeat(0, sequenceNumber = 2))).single() is HeartbeatDecision.Answer)

        advanceTo(1000 + timings.graceMs)
        assertEquals(HeartbeatDecision.Refuse, forward(full(heartbeat(0, sequenceNumber = 3))).single())
        assertEquals(HeartbeatDecision.Refuse, forward(unchanged(0, sequenceNumber = 4, baseSequenceNumber = 3)).single())
    }

    /** A higher token proves that there is a newer leader, so the later heartbeats of the batch are refused too. */
    @Test
    fun `a leader that finds a higher fencing token in a batch steps down and refuses the whole batch`() {
        becomeLeaderWithFleet(machines = 2)
        val newer = heartbeat(0, sequenceNumber = 2, token = FencingToken.first(revision + 1000))

        val effects = step(Input.FollowerBatchReceived(request(), listOf(full(newer), full(heartbeat(1, sequenceNumber = 2)))))

        assertEquals(1, effects.stepDowns().size)
        assertEquals(List(2) { HeartbeatDecision.Refuse }, effects.followerAnswers().single().decisions)
    }

    @Test
    fun `forwarded heartbeats of a terminated machine are refused`() {
        becomeLeaderWithFleet(machines = 1)
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

    /** Becomes leader of one machine and starts one task, which a forwarded heartbeat reports as running. */
    private fun startOneTask(): AttemptId {
        becomeLeaderWithFleet(machines = 1)
        submitJobs(1, tasks = 1)
        val call = runRounds(3).directCalls().first { call -> call.commands.any { it is WorkerCommand.Start } }
        val attempt = call.commands.single().attempt
        forward(full(heartbeat(0, sequenceNumber = 2).copy(tasks = listOf(TaskStatus(attempt, TaskState.RUNNING)))))
        return attempt
    }
}
