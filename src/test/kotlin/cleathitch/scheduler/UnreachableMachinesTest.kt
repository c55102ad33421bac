package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.MachineId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Machines that answer direct calls while their heartbeats reach no controller, and zones that lose their machines. */
class UnreachableMachinesTest : CombinedFaultsHarness() {
    /** Direct calls don't renew leases, so tasks started there would be killed when the worker's lease expires. */
    @Test
    fun `a machine whose heartbeats are lost gets no new tasks, although it answers probes`() {
        becomeLeaderWithFleet()
        runPeriodsWithProbes(listOf(machine), count = 4)

        val effects = submit(1) + runPeriodsWithProbes(listOf(machine), count = 2)

        assertEquals(emptyList<AttemptId>(), effects.startedAttempts())
    }

    /** If all machines' heartbeats are lost, a network partition is assumed as for a silent fleet, although the machines answer probes. */
    @Test
    fun `a fleet whose heartbeats are lost isn't terminated when its leases expire`() {
        val fleet = fleet(12)
        becomeLeaderWithBusyFleet(fleet)

        val effects = runPeriodsWithProbes(fleet, count = periodsUntilLeaseExpiry + 3)

        assertEquals(emptySet<MachineId>(), effects.terminatedMachines())
    }

    @Test
    fun `a single machine whose heartbeats are lost is terminated once its lease has expired`() {
        val fleet = fleet(12)
        becomeLeaderWithBusyFleet(fleet)

        val effects = (1..periodsUntilLeaseExpiry + 3).flatMap { fleet[0].answerProbe() + runPeriods(1, fleet.drop(1)) }

        assertEquals(setOf(fleet[0].id), effects.terminatedMachines())
    }

    /**
     * The machine has capacity for two of the three tasks. While one of them may still run there, the third must be placed in the
     * same zone although another zone has free capacity. Once the machine is terminated, the job may run in any zone.
     */
    @Test
    fun `a single-zone array job is restarted in another zone once none of its tasks can still be running in the first`() {
        becomeLeaderWithFleet()
        val other = fakeMachine(1)
        runPeriods(2, listOf(machine, other))
        val started = submit(1, tasks = 3) { copy(oneZone = true) } + runRounds(2)
        val used = if (started.directCalls().single().machine == machine.id) machine else other
        val unused = if (used === machine) other else machine
        deliver(started.directCalls(), listOf(used))

        val whileLost = runPeriods(6, listOf(unused))
        val afterTermination = step(Input.MachinesTerminated(listOf(used.id))) + runPeriods(2, listOf(unused))

        assertEquals(emptyList<AttemptId>(), whileLost.startedAttempts())
        assertEquals(setOf(used.id), whileLost.terminatedMachines())
        assertEquals(2, afterTermination.startedAttempts().mapTo(HashSet()) { it.task }.size)
    }

    /** Becomes leader of [fleet] with two tasks of a service on each machine. */
    private fun becomeLeaderWithBusyFleet(fleet: List<FakeMachine>) {
        becomeLeaderWithFleet(fleet)
        submit(1, tasks = 2 * fleet.size) { copy(kind = JobKind.SERVICE) }
        deliver(runRounds(2).directCalls(), fleet)
    }

    /** Advances the clock by [count] heartbeat periods in which [machines] answer probes and none of their heartbeats arrives. */
    private fun runPeriodsWithProbes(machines: List<FakeMachine>, count: Int): List<Effect> = (1..count).flatMap {
        machines.flatMap { it.answerProbe() } + runRounds(roundsPerHeartbeat)
    }
}
