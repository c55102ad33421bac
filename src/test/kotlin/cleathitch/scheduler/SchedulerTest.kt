package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.model.WorkerCommand
import cleathitch.scheduler.simulation.SimulatedCluster
import cleathitch.storage.LogSizes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Basic behaviour of a scheduler, where each test decides when a commit succeeds. */
class SchedulerTest {
    private val scheduler = Scheduler(
        SimulatedCluster.defaultDeployment,
        SchedulerTimings.of(SimulatedCluster.defaultDeployment),
        Term(7),
        RecoveredState.EMPTY,
        ClockReading(0, 0),
        LogSizes("cleathitch/", "leader/cleathitch"),
    )
    private var nowMs = 0L
    private var revision = 7L

    /** If such a machine were ignored, its free capacity would be paid for and never used. */
    @Test
    fun `a machine whose first heartbeat arrives before the machine types are listed gets tasks`() {
        renewLease()
        step(Input.HeartbeatReceived(RequestId(1), heartbeat(1)))
        step(Input.MachineTypesListed(listOf(machineType())))
        nowMs = 4000
        step(Input.HeartbeatReceived(RequestId(2), heartbeat(2, FencingToken.first(7))))
        nowMs += 300

        val submission = step(Input.Submit(RequestId(3), SimulatedCluster.jobSpec(1, tasks = 1)))

        val call = commit(submission).directCalls().single()
        assertEquals(listOf(WorkerCommand.Start(AttemptId(TaskId(JobId("j-000001"), 0), 1))), call.commands)
    }

    @Test
    fun `a submission is answered once its record is committed, and not before`() {
        renewLease()
        step(Input.MachineTypesListed(listOf(machineType())))

        val first = step(Input.Submit(RequestId(1), SimulatedCluster.jobSpec(1)))
        // Submissions that arrive while a commit is in flight share the next record.
        val others = step(Input.Submit(RequestId(2), SimulatedCluster.jobSpec(2)), Input.Submit(RequestId(3), SimulatedCluster.jobSpec(3)))
        val firstCommitted = commit(first)
        val othersCommitted = commit(firstCommitted)

        assertTrue(first.none { it is Effect.Answer })
        assertTrue(others.none { it is Effect.Write })
        assertEquals(RequestId(1), firstCommitted.userAnswers().single().request)
        assertEquals(listOf(RequestId(2), RequestId(3)), othersCommitted.userAnswers().map { it.request })
    }

    @Test
    fun `a stale heartbeat is refused and has no other effect`() {
        renewLease()
        step(Input.HeartbeatReceived(RequestId(1), heartbeat(5)))

        val stale = step(Input.HeartbeatReceived(RequestId(2), heartbeat(4)))

        assertEquals(listOf<Effect>(Effect.RefuseHeartbeat(RequestId(2))), stale.filter { it !is Effect.Log })
    }

    @Test
    fun `a leader steps down when a heartbeat reports a fencing token higher than its own`() {
        renewLease()

        val effects = step(Input.HeartbeatReceived(RequestId(1), heartbeat(1, FencingToken.first(8))))

        assertTrue(effects.any { it is Effect.StepDown })
    }

    @Test
    fun `without a lease a poll is answered as unavailable at once`() {
        val reply = step(Input.Poll(RequestId(1), JobId("j-000001"))).userReplies().single()

        assertTrue(reply is UserReply.Unavailable)
    }

    @Test
    fun `fencing tokens are ordered by revision, then by count, and stay below 2 to the 63`() {
        val old = FencingToken.first(41)

        assertTrue(old.next() > old)
        assertTrue(FencingToken.first(42) > FencingToken(old.packed + old.remainingCount))
        assertTrue(FencingToken.first((1L shl 43) - 1).packed > 0)
    }

    private fun step(vararg inputs: Input): List<Effect> = scheduler.handle(inputs.toList(), ClockReading(nowMs, nowMs))

    private fun renewLease() = step(Input.LeaseRenewed(Long.MAX_VALUE / 2))

    /** Confirms the commits among [effects] as successful. */
    private fun commit(effects: List<Effect>): List<Effect> =
        effects.commits().flatMap { step(Input.CommitSucceeded(it.index, ++revision)) }

    private fun heartbeat(sequenceNumber: Long, token: FencingToken = FencingToken.NONE) = Heartbeat(
        machine = MachineId("vm-1"),
        address = "10.0.0.9:1",
        type = "m4",
        zone = "a",
        spot = false,
        incarnation = 1,
        sequenceNumber = sequenceNumber,
        token = token,
        preemptionNoticeS = null,
        tasks = emptyList(),
    )
}
