package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.RentalAnswer
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.ListedState
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Machines are rented where the job's zone constraints let its tasks run. */
class ZoneConstraintsTest : SchedulerHarness() {
    private val service = SimulatedCluster.jobSpec(1, JobKind.SERVICE, tasks = 1)

    /** Without it, the only task of a spread service was requested in the first zone alone, however often that refused. */
    @Test
    fun `a spread service is rented for in another zone if the first one refuses`() {
        becomeLeader()
        submit(service.copy(spread = true))

        val first = rentals(runRounds(ROUNDS))
        first.forEach { step(Input.RentalCompleted(it.request, RentalAnswer.NoCapacity)) }
        val second = rentals(runRounds(ROUNDS))

        assertEquals(listOf("a"), first.map { it.offer.zone })
        assertEquals(listOf("b"), second.map { it.offer.zone })
    }

    /** Without it, the lost replica's machine was requested in the zone that may take no more replicas. */
    @Test
    fun `a lost replica of a spread service is rented for in the zone that it left`() {
        becomeLeaderWithFleet(machines = 2)
        submit(service.copy(tasks = 3, cpus = 1.0, spread = true))
        val starts = runRounds(ROUNDS).directStarts()
        val fewest = starts.groupBy { it.machine }.minBy { it.value.size }

        assertEquals(3, starts.size)
        assertEquals(listOf(heartbeat(fewest.key.number).zone), zonesRentedAfterLossOf(fewest.key.number))
    }

    /** Without it, the lost task's machine was requested in any zone, although the other task binds the job to its zone. */
    @Test
    fun `a lost task of a service in one zone is rented for in the zone of the other task`() {
        becomeLeader()
        listOf(1, 3).forEach { sendHeartbeat(heartbeat(it)) }
        submit(service.copy(tasks = 2, cpus = 4.0, oneZone = true))

        assertEquals(2, runRounds(ROUNDS).directStarts().size)
        assertEquals(listOf("b"), zonesRentedAfterLossOf(3))
    }

    /** Without it, the first task bound the job to a zone where the second one never fitted. */
    @Test
    fun `a service in one zone starts in a zone that has room for all of its tasks`() {
        becomeLeader()
        listOf(0, 1, 3).forEach { sendHeartbeat(heartbeat(it)) }
        submit(service.copy(tasks = 2, cpus = 4.0, oneZone = true))

        assertEquals(setOf(1, 3), runRounds(ROUNDS).directStarts().map { it.machine.number }.toSet())
    }

    private fun submit(spec: JobSpec) = step(Input.Submit(request(), spec))

    private val MachineId.number get() = text.substringAfter('-').toInt()

    private fun rentals(effects: List<Effect>) = effects.filterIsInstance<Effect.Rent>().map { it.rental }

    private fun zonesRentedAfterLossOf(machine: Int): List<String> {
        val lost = step(Input.MachinesListed(listOf(listedMachine(machine, ListedState.FAILED)))) + runRounds(ROUNDS)
        assertTrue(machineId(machine) in lost.terminatedMachines())
        return rentals(step(Input.MachinesTerminated(listOf(machineId(machine)))) + runRounds(ROUNDS)).map { it.offer.zone }
    }

    private companion object {
        const val ROUNDS = 8
    }
}
