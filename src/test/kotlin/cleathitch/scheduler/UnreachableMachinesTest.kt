package cleathitch.scheduler

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.MachineId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Machines that only half of the messages reach, and zones that lose them. */
class UnreachableMachinesTest : CombinedFaultsHarness() {
    private fun answersOnly(machines: List<Machine>, count: Int) = (1..count).flatMap {
        machines.flatMap { step(Input.ProbeAnswered(it.shown())) } + settle((deployment.reportS * 1000 / timings.roundMs).toInt())
    }

    /** Direct orders don't renew leases: what was started there died with the next lease. */
    @Test
    fun `a machine whose reports reach nobody gets nothing new, though it answers`() {
        lead()
        answersOnly(listOf(machine), count = 4)
        assertEquals(emptyList<AttemptId>(), starts(submits(1) + answersOnly(listOf(machine), count = 2)))
    }

    /** They are as little to blame as machines that say nothing; all went back at the same moment. */
    @Test
    fun `a fleet whose reports reach nobody isn't returned when its leases end`() {
        val fleet = List(12) { Machine(it) }
        step(Input.LeaseRenewed(Long.MAX_VALUE / 2), Input.MachineTypesListed(listOf(type)))
        repeat(2) { fleet.forEach { it.reports() } }
        submits(1, tasks = 24) { copy(kind = JobKind.SERVICE) }
        val effects = settle(rounds = 2)
        pushes(effects).forEach { push -> fleet.first { it.id == push.machine }.obeys(push) }
        assertEquals(emptySet<MachineId>(), returned(answersOnly(fleet, count = leasePeriods + 3)))
    }

    @Test
    fun `a single machine whose reports reach nobody is returned once its lease is over`() {
        val fleet = List(12) { Machine(it) }
        step(Input.LeaseRenewed(Long.MAX_VALUE / 2), Input.MachineTypesListed(listOf(type)))
        repeat(2) { fleet.forEach { it.reports() } }
        submits(1, tasks = 24) { copy(kind = JobKind.SERVICE) }
        pushes(settle(rounds = 2)).forEach { push -> fleet.first { it.id == push.machine }.obeys(push) }
        val effects = (1..leasePeriods + 3).flatMap { step(Input.ProbeAnswered(fleet[0].shown())) + periods(1, others = fleet.drop(1)) }
        assertEquals(setOf(fleet[0].id), returned(effects))
    }

    /**
     * The machine has room for two of three. As long as one task may run there, the third must join it, though another zone
     * has room; with the last machine's return the job is free again.
     */
    @Test
    fun `an array bound to one zone goes elsewhere once nothing of it is left there`() {
        lead()
        val other = Machine(1)
        periods(2, others = listOf(machine, other))
        val started = submits(1, tasks = 3) { copy(oneZone = true) } + settle(rounds = 2)
        val holder = if (pushes(started).single().machine == machine.id) machine else other
        val free = if (holder === machine) other else machine
        pushes(started).forEach { holder.obeys(it) }
        val lost = periods(6, others = listOf(free))
        assertEquals(emptyList<AttemptId>(), starts(lost))
        assertEquals(setOf(holder.id), returned(lost))
        val after = step(Input.MachinesTerminated(listOf(holder.id))) + periods(2, others = listOf(free))
        assertEquals(2, starts(after).mapTo(HashSet()) { it.task }.size)
    }
}
