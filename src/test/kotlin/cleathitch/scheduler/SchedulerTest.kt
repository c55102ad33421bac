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
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.model.WorkerCommand
import cleathitch.scheduler.simulation.SimulatedCluster
import cleathitch.storage.StoredSizeEstimator
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Small traces of one engine, step by step. */
class SchedulerTest {
    private val type = MachineType("m4", 4.0, 0.0, 16.0, 50.0, 1.0, 1.0, 0.4, 5.0, listOf("a", "b"))
    private val scheduler = Scheduler(
        SimulatedCluster.standard,
        SchedulerTimings.of(SimulatedCluster.standard),
        Term(7),
        RecoveredState.EMPTY,
        ClockReading(0, 0),
        StoredSizeEstimator,
    )
    private var nowMs = 0L
    private var revision = 7L

    private fun step(vararg commands: Input): List<Effect> = scheduler.handle(commands.toList(), ClockReading(nowMs, nowMs))

    private fun commit(effects: List<Effect>): List<Effect> = effects.filterIsInstance<Effect.Write>()
        .flatMap { step(Input.CommitSucceeded(it.commit.index, ++revision)) }

    private fun report(sequenceNumber: Long, token: Long = 0, tasks: List<TaskStatus> = emptyList()) =
        Heartbeat(MachineId("vm-1"), "10.0.0.9:1", "m4", "a", false, 1, sequenceNumber, FencingToken(token), null, tasks)

    private fun lead() = step(Input.LeaseRenewed(Long.MAX_VALUE / 2))

    /** Such a machine once had no type for good: it was paid for and never used. */
    @Test
    fun `a machine that reports before the types are known is used`() {
        lead()
        step(Input.HeartbeatReceived(RequestId(1), report(1)))
        step(Input.MachineTypesListed(listOf(type)))
        nowMs = 4000
        step(Input.HeartbeatReceived(RequestId(2), report(2, FencingToken.first(7).packed)))
        nowMs += 300
        val written = step(Input.Submit(RequestId(3), SimulatedCluster.job(1, tasks = 1)))
        val pushed = commit(written).filterIsInstance<Effect.SendCommands>()
        assertEquals(listOf(WorkerCommand.Start(AttemptId(TaskId(JobId("j-000001"), 0), 1))), pushed.single().commands)
    }

    @Test
    fun `an intake is answered once its record is committed, and not before`() {
        lead()
        step(Input.MachineTypesListed(listOf(type)))
        val first = step(Input.Submit(RequestId(1), SimulatedCluster.job(1)))
        assertTrue(first.none { it is Effect.Answer })
        // What comes while a commit is under way shares the next record.
        assertTrue(
            step(Input.Submit(RequestId(2), SimulatedCluster.job(2)), Input.Submit(RequestId(3), SimulatedCluster.job(3))).none {
                it is Effect.Write
            },
        )
        val after = commit(first)
        assertEquals(RequestId(1), after.filterIsInstance<Effect.Answer>().single().request)
        val both = commit(after).filterIsInstance<Effect.Answer>()
        assertEquals(listOf(RequestId(2), RequestId(3)), both.map { it.request })
    }

    @Test
    fun `an older report changes nothing and isn't answered`() {
        lead()
        step(Input.HeartbeatReceived(RequestId(1), report(5)))
        val late = step(Input.HeartbeatReceived(RequestId(2), report(4)))
        assertEquals(listOf<Effect>(Effect.RefuseHeartbeat(RequestId(2))), late.filter { it !is Effect.Log })
    }

    @Test
    fun `a report with a higher version than ours ends the term`() {
        lead()
        val higher = FencingToken.first(8).packed
        assertTrue(step(Input.HeartbeatReceived(RequestId(1), report(1, higher))).any { it is Effect.StepDown })
    }

    @Test
    fun `without a lease users are sent away at once`() {
        val answer = step(Input.Poll(RequestId(1), JobId("j-000001"))).filterIsInstance<Effect.Answer>().single()
        assertTrue(answer.reply is UserReply.Unavailable)
    }

    @Test
    fun `versions order by term, cursor and count, and stay below 2 to the 63`() {
        val old = FencingToken.first(41)
        assertTrue(old.next() > old)
        assertTrue(FencingToken.first(42) > FencingToken(old.packed + old.countLeft))
        assertTrue(FencingToken.first((1L shl 43) - 1).packed > 0)
    }
}
