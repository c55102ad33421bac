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

/** Many machines become silent at once: the reaction depends on whether the machines, a zone, the network or the leader has failed. */
class FailureDetectorTest : SchedulerHarness() {
    private var sequenceNumber = 1L

    /** The newest fencing token that each machine received through a follower, and reports in its next heartbeat. */
    private val receivedTokens = HashMap<Int, FencingToken>()

    /** If each overdue machine were considered by itself, a silent fleet would be terminated machine by machine. */
    @Test
    fun `when all heartbeats stop arriving, no machine is terminated before its lease has expired`() {
        becomeLeaderWithBusyFleet()

        val effects = (1..(deployment.workerLeaseS / deployment.heartbeatPeriodS).toInt()).flatMap { runPeriod(emptyList()) }

        assertEquals(emptySet<MachineId>(), effects.terminatedMachines())
    }

    /** Heartbeats are answered through followers, while the leader's direct calls are lost: its own network path has failed. */
    @Test
    fun `a leader whose direct calls are lost transfers leadership`() {
        becomeLeaderWithBusyFleet()
        runPeriod(FLEET, throughFollower = true)
        loseDirectCalls(4)

        val stepDown = (1..2).flatMap { runPeriod(FLEET, throughFollower = true) }.stepDowns().single()

        assertTrue(stepDown.transferLeadership)
    }

    /** Two lost calls aren't sufficient evidence of a failure of the leader's network. */
    @Test
    fun `a leader doesn't step down when all heartbeats arrive through followers and two direct calls are lost`() {
        becomeLeaderWithBusyFleet()
        loseDirectCalls(2)

        val effects = (1..8).flatMap { runPeriod(FLEET, throughFollower = true) }

        assertEquals(emptyList<Effect>(), effects.stepDowns())
    }

    /** Machines that don't report the leader's tokens have stopped or miss all replies, so another leader couldn't reach them either. */
    @Test
    fun `a leader doesn't step down when direct calls are lost to machines that don't report its fencing tokens`() {
        becomeLeaderWithBusyFleet()
        loseDirectCalls(10)
        val old = FencingToken.first(revision)

        val effects = (1..4).flatMap {
            runPeriod(10 until 40, throughFollower = true) + runPeriod(5 until 10, token = old, throughFollower = true)
        }

        assertEquals(emptyList<Effect>(), effects.stepDowns())
    }

    /** One answered call proves that the leader's network works. */
    @Test
    fun `a leader doesn't step down when some direct calls are lost and one is answered`() {
        becomeLeaderWithBusyFleet()
        loseDirectCalls(4)
        step(Input.ProbeAnswered(heartbeat(20, sequenceNumber = 1000)))

        val effects = (1..4).flatMap { runPeriod(0 until 20, throughFollower = true) }

        assertEquals(emptyList<Effect>(), effects.stepDowns())
    }

    /**
     * The machines still run their tasks until their leases expire. Even if they were terminated, the tasks of jobs that spread
     * over zones couldn't be started in the other zone.
     */
    @Test
    fun `the machines of a partitioned zone aren't terminated, and new ones are rented in the other zone`() {
        becomeLeaderWithBusyFleet()
        val zoneB = FLEET.filter { it % 2 == 1 }
        runPeriod(zoneB)

        val beforeJobs = (1..4).flatMap { runPeriod(zoneB) }
        submitJobs(3, tasks = 4)
        val effects = beforeJobs + (1..4).flatMap { runPeriod(zoneB) }

        assertEquals(emptySet<MachineId>(), effects.terminatedMachines())
        assertEquals(setOf("b"), effects.filterIsInstance<Effect.Rent>().map { it.rental.offer.zone }.toSet())
    }

    /**
     * This happens when answers take longer than the workers' timeout. If each machine were considered by itself, all would be
     * terminated.
     */
    @Test
    fun `when all machines miss the leader's replies, none is terminated`() {
        becomeLeaderWithBusyFleet()
        val old = FencingToken.first(7)

        val effects = (1..8).flatMap { runPeriod(FLEET, token = old) }

        assertEquals(emptySet<MachineId>(), effects.terminatedMachines())
    }

    /** A rack is a minority of the fleet: its machines count as failed, and their tasks needn't wait for the leases to expire. */
    @Test
    fun `all machines of a rack that becomes silent are terminated`() {
        becomeLeaderWithBusyFleet()
        val rack = (0 until 12).mapTo(HashSet()) { machineId(it) }

        val effects = (1..5).flatMap { runPeriod(12 until 40) }

        assertEquals(rack, effects.terminatedMachines())
    }

    /** Becomes leader of [FLEET] with tasks of a service on each machine, so that none is idle. */
    private fun becomeLeaderWithBusyFleet() {
        becomeLeaderWithFleet(FLEET.count())
        val request = request()
        step(Input.Submit(request, SimulatedCluster.jobSpec(request.number.toInt(), JobKind.SERVICE, tasks = 2 * FLEET.count())))
        repeat(3) { runPeriod(FLEET) }
    }

    /** Reports a direct call to each of the first [count] machines as unanswered. */
    private fun loseDirectCalls(count: Int) = repeat(count) { step(Input.DirectCallUnanswered(machineId(it))) }

    /** Advances the clock by a heartbeat period in which the heartbeats of [machines] arrive, spread over its rounds. */
    private fun runPeriod(machines: Iterable<Int>, token: FencingToken? = null, throughFollower: Boolean = false): List<Effect> {
        sequenceNumber++
        return (0 until roundsPerHeartbeat).flatMap { round ->
            machines.filter { it % roundsPerHeartbeat == round }.flatMap { machine ->
                val reportedToken = token ?: receivedTokens[machine] ?: FencingToken.first(revision)
                val heartbeat = heartbeat(machine, sequenceNumber, reportedToken)
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
