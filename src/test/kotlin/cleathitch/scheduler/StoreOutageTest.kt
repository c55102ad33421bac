package cleathitch.scheduler

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.MachineId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Outages of the state service that outlast leases. */
class StoreOutageTest : CombinedFaultsHarness() {
    /** Their tasks ended with their leases and wait to start again there; idle only by the clock, they were returned. */
    @Test
    fun `machines whose leases ended in an outage aren't returned as idle when it is over`() {
        val fleet = List(6) { Machine(it) }
        step(Input.LeaseRenewed(20_000), Input.MachineTypesListed(listOf(type)))
        repeat(2) { fleet.forEach { it.reports() } }
        val started = submits(1, tasks = 12) { copy(kind = JobKind.SERVICE) } + settle(rounds = 2)
        pushes(started).forEach { push -> fleet.first { it.id == push.machine }.obeys(push) }
        stateServiceOut = true
        periods((deployment.cancelS / deployment.reportS).toInt() + 10, others = fleet)
        fleet.forEach { it.losesLease() }
        val back = step(Input.LeaseRenewed(Long.MAX_VALUE / 2)) + stateServiceBack() + periods(3, others = fleet)
        assertEquals(emptySet<MachineId>(), returned(back))
        assertEquals(12, starts(back).mapTo(HashSet()) { it.task }.size)
    }
}
