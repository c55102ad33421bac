package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Many machines fall silent together: whose fault it is decides what becomes of them. */
class FailureDetectorTest : SchedulerHarness() {
    private var sequenceNumber = 1L
    private val roundsPerReport = (deployment.reportS * 1000 / timings.roundMs).toInt()

    /** One report period in which the machines of [heard] report, spread over it as they are in life. */
    private fun period(heard: Iterable<Int>, token: FencingToken? = null, throughFollower: Boolean = false): List<Effect> {
        sequenceNumber++
        return (0 until roundsPerReport).flatMap { round ->
            heard.filter { it % roundsPerReport == round }.flatMap {
                val report = report(it, sequenceNumber, token ?: shown[it] ?: FencingToken.first(revision))
                val effects = step(if (throughFollower) forwarded(report) else Input.HeartbeatReceived(request(), report))
                effects.filterIsInstance<Effect.AnswerFollower>().flatMap { answer -> answer.decisions }
                    .forEach { decision -> if (decision is HeartbeatDecision.Answer) shown[it] = decision.token }
                effects
            } + settle(rounds = 1)
        }
    }

    /** The newest version that each machine was answered with through a follower, which its next report shows. */
    private val shown = HashMap<Int, FencingToken>()

    private fun forwarded(report: Heartbeat) = Input.FollowerBatchReceived(request(), listOf(ForwardedHeartbeat.Full(report)))

    private fun returned(effects: List<Effect>) = effects.filterIsInstance<Effect.TerminateMachines>().flatMapTo(HashSet()) { it.machines }

    /** All machines with a service on each, so that none is idle; even ones in zone a, odd ones in zone b. */
    private fun busy(count: Int) {
        machines(count)
        val request = request()
        step(Input.Submit(request, SimulatedCluster.job(request.number.toInt(), JobKind.SERVICE, tasks = count * 2)))
        repeat(3) { period(0 until count) }
    }

    /** A fleet falls silent over a report period; counted at the end of each one's patience it went back piece by piece. */
    @Test
    fun `when nothing is heard any more, no machine is returned before its lease is over`() {
        busy(40)
        val effects = (1..(deployment.leaseS / deployment.reportS).toInt()).flatMap { period(emptyList()) }
        assertEquals(emptySet<MachineId>(), returned(effects))
    }

    /** They report to followers, whose answers they get; what the leader sends them itself is lost. */
    @Test
    fun `a leader whose direct commands are lost hands over`() {
        busy(40)
        period(0 until 40, throughFollower = true)
        repeat(4) { step(Input.DirectCallUnanswered(report(it).machine)) }
        val stepDown = (1..2).flatMap { period(0 until 40, throughFollower = true) }.filterIsInstance<Effect.StepDown>().single()
        assertTrue(stepDown.transferLeadership)
    }

    /** Nothing is wrong with the leader's own path if all machines report through followers, or two lose commands. */
    @Test
    fun `a leader whose machines all report to followers stays`() {
        busy(40)
        repeat(2) { step(Input.DirectCallUnanswered(report(it).machine)) }
        val effects = (1..8).flatMap { period(0 until 40, throughFollower = true) }
        assertEquals(emptyList<Effect>(), effects.filterIsInstance<Effect.StepDown>())
    }

    /** Those machines have stopped, or hear nothing of anyone: another leader would reach them no better. */
    @Test
    fun `a leader stays when lost commands went to machines that don't show its answers`() {
        busy(40)
        repeat(10) { step(Input.DirectCallUnanswered(report(it).machine)) }
        val old = FencingToken.first(revision)
        val effects = (1..4).flatMap {
            period(10 until 40, throughFollower = true) +
                period(5 until 10, token = old, throughFollower = true)
        }
        assertEquals(emptyList<Effect>(), effects.filterIsInstance<Effect.StepDown>())
    }

    /** One answered command shows the path to be whole. */
    @Test
    fun `a leader stays when other direct commands are answered`() {
        busy(40)
        repeat(4) { step(Input.DirectCallUnanswered(report(it).machine)) }
        step(Input.ProbeAnswered(report(20, sequenceNumber = 1000)))
        val effects = (1..4).flatMap { period(0 until 20, throughFollower = true) }
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
        val old = FencingToken.first(7)
        val effects = (1..8).flatMap { period(0 until 40, token = old) }
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
