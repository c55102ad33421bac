package cleathitch.scheduler

import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.AttemptId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The team's limit is two tasks. */
class QuotaFaultsTest : CombinedFaultsHarness(maxCpus = 4.0) {
    /**
     * The cancelled tasks' machine can't be asked after the change of leader: they count until they are surely gone, and
     * then the team gets its room again.
     */
    @Test
    fun `a team at its limit waits for cancelled tasks on a machine that nobody hears, and no longer`() {
        lead()
        runs(1, tasks = 2)
        failOver()
        assertTrue(cancelled(aborts(1)))
        submits(2)
        val other = Machine(2)
        val bound = timings.graceMs + (deployment.leaseS * 1000).toLong() + timings.leaseMarginMs
        val periodMs = (deployment.reportS * 1000).toLong()
        assertEquals(emptyList<AttemptId>(), starts(periods((bound / periodMs - 1).toInt(), others = listOf(other))))
        assertEquals(listOf(taskOf(2)), starts(periods(6, others = listOf(other))).map { it.task }.distinct())
    }

    /** The starts are on their way: until the machine shows a version above theirs they may yet begin, and count. */
    @Test
    fun `cancelled starts that no report shows count until they are shut out`() {
        lead()
        submits(1, tasks = 2)
        settle(rounds = 2)
        aborts(1)
        submits(2)
        assertEquals(
            emptyList<AttemptId>(),
            starts(machine.reports(missesReplies = true) + settle(rounds = 2)).filter {
                it.task ==
                    taskOf(2)
            },
        )
        machine.reports()
        assertEquals(listOf(taskOf(2)), starts(periods(2)).map { it.task }.distinct())
    }

    /** It shows no version of ours as it hears nothing, but its new session shuts out all that was sent before. */
    @Test
    fun `a cancelled task on a machine that hears nothing counts until its session ends`() {
        lead()
        runs(1, tasks = 2)
        aborts(1)
        submits(2)
        repeat(2) {
            assertEquals(
                emptyList<AttemptId>(),
                starts(machine.reports(missesReplies = true) + settle(rounds = 2)).filter {
                    it.task ==
                        taskOf(2)
                },
            )
        }
        machine.losesLease()
        machine.reports(missesReplies = true)
        assertEquals(listOf(taskOf(2)), starts(periods(2, others = listOf(Machine(2)))).map { it.task }.distinct())
    }
}
