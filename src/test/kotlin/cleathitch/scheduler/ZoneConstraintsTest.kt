package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.RentalAnswer
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
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

    private fun submit(spec: JobSpec) = step(Input.Submit(request(), spec))

    private fun rentals(effects: List<Effect>) = effects.filterIsInstance<Effect.Rent>().map { it.rental }

    private companion object {
        const val ROUNDS = 8
    }
}
