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

/** Many machines fall silent together: whether the machines, a zone, the network or the leader is at fault decides what follows. */
class FailureDetectorTest : SchedulerHarness() {
    private var sequenceNumber = 1L

    /** The newest fencing token that each machine received through a follower, and shows in its next heartbeat. */
    private val receivedTokens = HashMap<Int, FencingToken>()

    /** Judged one by one as each becomes overdue, a silent fleet would be terminated piece by piece. */
    @Test
    fun `when no heartbeat arrives any more, no machine is terminated before its lease has expired`() {
        leadBusyFleet()

        val effects = (1..(deployment.leaseS / deployment.reportS).toInt()).flatMap { runInterval(emptyList()) }

        assertEquals(emptySet<MachineId>(), effects.terminatedMachines())
    }

    /** The machines get answers through followers, while the leader's own calls are lost. */
    @Test
    fun `a leader whose direct calls are lost transfers leadership`() {
        leadBusyFleet()
        runInterval(FLEET, throughFollower = true)
        loseDirectCalls(4)

        val stepDown = (1..2).flatMap { runInterval(FLEET, throughFollower = true) }.stepDowns().single()

        assertTrue(stepDown.transferLeadership)
    }

    /** Two lost calls don't show a fault of the leader's network. */
    @Test
    fun `a leader stays when all heartbeats come through followers and two direct calls are lost`() {
        leadBusyFleet()
        loseDirectCalls(2)

        val effects = (1..8).flatMap { runInterval(FLEET, throughFollower = true) }

        assertEquals(emptyList<Effect>(), effects.stepDowns())
    }

    /** Those machines have stopped, or miss all replies: another leader would reach them no better. */
    @Test
    fun `a leader stays when the lost direct calls went to machines that don't show its fencing tokens`() {
        leadBusyFleet()
        loseDirectCalls(10)
        val old = FencingToken.first(revision)

        val effects = (1..4).flatMap {
            runInterval(10 until 40, throughFollower = true) + runInterval(5 until 10, token = old, throughFollower = true)
        }

        assertEquals(emptyList<Effect>(), effects.stepDowns())
    }

    /** One answered call shows that the leader's network works. */
    @Test
    fun `a leader stays when another direct call is answered`() {
        leadBusyFleet()
        loseDirectCalls(4)
        step(Input.ProbeAnswered(heartbeat(20, sequenceNumber = 1000)))

        val effects = (1..4).flatMap { runInterval(0 until 20, throughFollower = true) }

        assertEquals(emptyList<Effect>(), effects.stepDowns())
    }

    /** Its machines run their tasks for a lease, and jobs that spread over zones can't run elsewhere anyway. */
    @Test
    fun `a partitioned zone keeps its machines, and new ones are rented in the other`() {
        leadBusyFleet()
        val zoneB = FLEET.filter { it % 2 == 1 }
        runInterval(zoneB)

        val beforeJobs = (1..4).flatMap { runInterval(zoneB) }
        submitJobs(3, tasks = 4)
        val effects = beforeJobs + (1..4).flatMap { runInterval(zoneB) }

        assertEquals(emptySet<MachineId>(), effects.terminatedMachines())
        assertEquals(setOf("b"), effects.filterIsInstance<Effect.Rent>().map { it.rental.offer.zone }.toSet())
    }

    /** As when answers take longer than workers wait for them. Judged one by one, all would be terminated. */
    @Test
    fun `when all machines miss the leader's replies, none is terminated`() {
        leadBusyFleet()
        val old = FencingToken.first(7)

        val effects = (1..8).flatMap { runInterval(FLEET, token = old) }

        assertEquals(emptySet<MachineId>(), effects.terminatedMachines())
    }

    /** Its machines have ended, so their tasks needn't wait for leases. */
    @Test
    fun `a rack that falls silent is terminated`() {
        leadBusyFleet()
        val rack = (0 until 12).mapTo(HashSet()) { machineId(it) }

        val effects = (1..5).flatMap { runInterval(12 until 40) }

        assertEquals(rack, effects.terminatedMachines())
    }

    /** Leads [FLEET] with tasks of a service on each machine, so that none is idle. */
    private fun leadBusyFleet() {
        becomeLeaderOf(FLEET.count())
        val request = request()
        step(Input.Submit(request, SimulatedCluster.job(request.number.toInt(), JobKind.SERVICE, tasks = 2 * FLEET.count())))
        repeat(3) { runInterval(FLEET) }
    }

    /** Direct calls to the first [count] machines get no answer. */
    private fun loseDirectCalls(count: Int) = repeat(count) { step(Input.DirectCallUnanswered(machineId(it))) }

    /** Lets a heartbeat interval pass in which the heartbeats of [machines] arrive, spread over its rounds. */
    private fun runInterval(machines: Iterable<Int>, token: FencingToken? = null, throughFollower: Boolean = false): List<Effect> {
        sequenceNumber++
        return (0 until roundsPerHeartbeat).flatMap { round ->
            machines.filter { it % roundsPerHeartbeat == round }.flatMap { machine ->
                val shownToken = token ?: receivedTokens[machine] ?: FencingToken.first(revision)
                val heartbeat = heartbeat(machine, sequenceNumber, shownToken)
                if (throughFollower) forward(machine, heartbeat) else sendHeartbeat(heartbeat)
            } + runRounds(1)
        }
    }

    private fun forward(machine: Int, heartbeat: Heartbeat): List<Effect> {
        val effects = step(Input.FollowerBatchReceived(request(), listOf(ForwardedHeartbeat.Full(heartbeat))))
        effects.followerAnswers().flatMap { it.decisions }
            .forEach { decision -> if (decision is HeartbeatDecision.Answer) receivedTokens[machine] = decision.token }
        return effects
    }

    private companion object {
        val FLEET = 0 until 40
    }
}
