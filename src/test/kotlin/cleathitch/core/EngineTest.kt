package cleathitch.core

import cleathitch.state.StoredCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Small traces of one engine, step by step. */
class EngineTest {
    private val type = MachineType("m4", 4.0, 0.0, 16.0, 50.0, 1.0, 1.0, 0.4, 5.0, listOf("a", "b"))
    private val engine = Engine(
        World.standard,
        Tuning.of(World.standard),
        Term(7),
        Snapshot.EMPTY,
        Moment(0, 0),
        StoredCodec,
    )
    private var nowMs = 0L
    private var revision = 7L

    private fun step(vararg commands: Command): List<Effect> = engine.handle(commands.toList(), Moment(nowMs, nowMs))

    private fun commit(effects: List<Effect>): List<Effect> = effects.filterIsInstance<Effect.Write>()
        .flatMap { step(Command.Committed(it.commit.seq, ++revision)) }

    private fun report(seq: Long, version: Long = 0, tasks: List<ReportedTask> = emptyList()) =
        Report(MachineId("vm-1"), "10.0.0.9:1", "m4", "a", false, 1, seq, OrderVersion(version), null, tasks)

    private fun lead() = step(Command.LeaseHeld(Long.MAX_VALUE / 2))

    /** Such a machine once had no type for good: it was paid for and never used. */
    @Test
    fun `a machine that reports before the types are known is used`() {
        lead()
        step(Command.Reported(RequestId(1), report(1)))
        step(Command.TypesListed(listOf(type)))
        nowMs = 4000
        step(Command.Reported(RequestId(2), report(2, OrderVersion.first(7).packed)))
        nowMs += 300
        val written = step(Command.Submit(RequestId(3), World.job(1, tasks = 1)))
        val pushed = commit(written).filterIsInstance<Effect.Push>()
        assertEquals(listOf(Order.Start(AttemptId(TaskId(JobId("j-000001"), 0), 1))), pushed.single().orders)
    }

    @Test
    fun `an intake is answered once its record is committed, and not before`() {
        lead()
        step(Command.TypesListed(listOf(type)))
        val first = step(Command.Submit(RequestId(1), World.job(1)))
        assertTrue(first.none { it is Effect.Answer })
        // What comes while a commit is under way shares the next record.
        assertTrue(step(Command.Submit(RequestId(2), World.job(2)), Command.Submit(RequestId(3), World.job(3))).none { it is Effect.Write })
        val after = commit(first)
        assertEquals(RequestId(1), after.filterIsInstance<Effect.Answer>().single().request)
        val both = commit(after).filterIsInstance<Effect.Answer>()
        assertEquals(listOf(RequestId(2), RequestId(3)), both.map { it.request })
    }

    @Test
    fun `an older report changes nothing and isn't answered`() {
        lead()
        step(Command.Reported(RequestId(1), report(5)))
        val late = step(Command.Reported(RequestId(2), report(4)))
        assertEquals(listOf<Effect>(Effect.RefuseReport(RequestId(2))), late.filter { it !is Effect.Note })
    }

    @Test
    fun `a report with a higher version than ours ends the term`() {
        lead()
        val higher = OrderVersion.first(8).packed
        assertTrue(step(Command.Reported(RequestId(1), report(1, higher))).any { it is Effect.StepDown })
    }

    @Test
    fun `without a lease users are sent away at once`() {
        val answer = step(Command.Poll(RequestId(1), JobId("j-000001"))).filterIsInstance<Effect.Answer>().single()
        assertTrue(answer.reply is UserReply.NotNow)
    }

    @Test
    fun `versions order by term, cursor and count, and stay below 2 to the 63`() {
        val old = OrderVersion.first(41)
        assertTrue(old.next() > old)
        assertTrue(OrderVersion.first(42) > OrderVersion(old.packed + old.countLeft))
        assertTrue(OrderVersion.first((1L shl 43) - 1).packed > 0)
    }
}
