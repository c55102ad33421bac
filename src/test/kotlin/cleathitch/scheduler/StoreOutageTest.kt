package cleathitch.scheduler

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.MachineId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Outages of the key-value store that outlast workers' leases. */
class StoreOutageTest : CombinedFaultsHarness() {
    /** The tasks ended when the leases expired and are restarted on the same machines; until then the machines only appear idle. */
    @Test
    fun `machines whose leases expired in an outage aren't terminated as idle when the outage ends`() {
        val fleet = fleet(6)
        becomeLeaderWithFleet(fleet, leaseUntilMs = 20_000)
        val started = submit(1, tasks = 12) { copy(kind = JobKind.SERVICE) } + runRounds(2)
        deliver(started.directCalls(), fleet)
        isStoreUnavailable = true
        runPeriods((deployment.cancellationDeadlineS / deployment.heartbeatPeriodS).toInt() + 10, fleet)
        fleet.forEach { it.expireLease() }

        val effects = step(Input.LeaseRenewed(NO_EXPIRY_MS)) + endStoreOutage() + runPeriods(3, fleet)

        assertEquals(emptySet<MachineId>(), effects.terminatedMachines())
        assertEquals(12, effects.startedAttempts().mapTo(HashSet()) { it.task }.size)
    }
}
