package cleathitch.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Many machines fall silent together: whose fault it is decides what becomes of them. */
class SilenceTest : EngineTrace() {
    private var seq = 1L
    private val roundsPerReport = (deployment.reportS * 1000 / tuning.roundMs).toInt()

    /** One report period in which the machines of [heard] and [relayed] report, spread over it as they are in life. */
    private fun period(heard: Iterable<Int>, relayed: Iterable<Int> = emptyList(), version: OrderVersion? = null): List<Effect> {
        seq++
        return (0 until roundsPerReport).flatMap { round ->
            (heard + relayed).filter { it % roundsPerReport == round }.flatMap {
                step(Command.Reported(request(), report(it, seq, version ?: OrderVersion.first(revision)), it in relayed))
            } + settle(rounds = 1)
        }
    }

    private fun returned(effects: List<Effect>) = effects.filterIsInstance<Effect.Return>().flatMapTo(HashSet()) { it.machines }

    /** All machines with a service on each, so that none is idle; even ones in zone a, odd ones in zone b. */
    private fun busy(count: Int) {
        machines(count)
        val request = request()
        step(Command.Submit(request, World.job(request.number.toInt(), JobKind.SERVICE, tasks = count * 2)))
        repeat(3) { period(0 until count) }
    }

    /** A fleet falls silent over a report period; counted at the end of each one's patience it went back piece by piece. */
    @Test
    fun `when nothing is heard any more, no machine is returned before its lease is over`() {
        busy(40)
        val effects = (1..(deployment.leaseS / deployment.reportS).toInt()).flatMap { period(emptyList()) }
        assertEquals(emptySet<MachineId>(), returned(effects))
    }

    @Test
    fun `a leader that machines reach only through others hands over`() {
        busy(40)
        assertEquals(emptyList<Effect>(), period(0 until 40).filterIsInstance<Effect.StepDown>())
        val stepDown = (1..2).flatMap { period(emptyList(), relayed = 0 until 40) }.filterIsInstance<Effect.StepDown>().single()
        assertTrue(stepDown.handOver)
    }

    /** A few that can't reach the leader don't change who leads, while most do reach it. */
    @Test
    fun `a leader that hears most machines itself stays`() {
        busy(40)
        val effects = (1..8).flatMap { period(10 until 40, relayed = 0 until 10) }
        assertEquals(emptyList<Effect>(), effects.filterIsInstance<Effect.StepDown>())
    }

    /** Its machines work on for a lease, and what spreads over zones can't run elsewhere anyway. */
    @Test
    fun `a zone that is cut off keeps its machines and gets no new ones`() {
        busy(40)
        val zoneB = (0 until 40).filter { it % 2 == 1 }
        period(zoneB)
        val effects = (1..4).flatMap { period(zoneB) }
        submit(jobs = 3, tasks = 4)
        val after = effects + (1..4).flatMap { period(zoneB) }
        assertEquals(emptySet<MachineId>(), returned(after))
        val rented = after.filterIsInstance<Effect.Rent>().map { it.asked.offer.zone }.toSet()
        assertEquals(setOf("b"), rented)
    }

    /** As when our answers come later than machines wait; they noticed one after the other and all went back. */
    @Test
    fun `when all machines miss our answers, none is to blame`() {
        busy(40)
        val shown = OrderVersion.first(7)
        val effects = (1..8).flatMap { period(0 until 40, version = shown) }
        assertEquals(emptySet<MachineId>(), returned(effects))
    }

    /** Its machines have stopped: their tasks needn't wait for leases. */
    @Test
    fun `a rack that falls silent is returned`() {
        busy(40)
        val rack = (0 until 12).mapTo(HashSet()) { report(it).machine }
        val effects = (1..5).flatMap { period(12 until 40) }
        assertEquals(rack, returned(effects))
    }
}
