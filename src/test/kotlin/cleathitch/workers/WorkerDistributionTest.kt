package cleathitch.workers

import cleathitch.scheduler.model.MachineId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Redirects from the leader to followers, for workers that send a heartbeat every 6 s. */
class WorkerDistributionTest {
    private val distribution = WorkerDistribution(heartbeatPeriodMs = 6000)
    private val followers = listOf("n1", "n2", "n3")
    private fun machine(number: Int) = MachineId("vm-%06d".format(number))

    @Test
    fun `workers are spread evenly over the followers`() {
        val counts = (1..300).map { distribution.followerFor(machine(it), followers, nowMs = it * 20L) }.groupingBy { it }.eachCount()
        assertEquals(mapOf("n1" to 100, "n2" to 100, "n3" to 100), counts)
    }

    /** A follower that has just started can't serve all workers at once: most would get no answer in time and return to the leader. */
    @Test
    fun `redirects to a follower are rate-limited, and the leader serves the other workers`() {
        val atOnce = (1..1000).mapNotNull { distribution.followerFor(machine(it), followers, nowMs = 0) }
        assertEquals(followers, atOnce.sorted())
        val inOnePeriod = (1..1000).mapNotNull { distribution.followerFor(machine(it), followers, nowMs = 6000L + it * 6) }
        assertTrue(inOnePeriod.size in 400..450) {
            "${inOnePeriod.size} workers were redirected within one heartbeat period, not 400 to 450"
        }
    }

    @Test
    fun `a worker that returns is served by the leader, and later redirected to another follower`() {
        val first = distribution.followerFor(machine(1), followers, nowMs = 0)
        assertNull(distribution.followerFor(machine(1), followers, nowMs = 5_000))
        assertNull(distribution.followerFor(machine(1), followers, nowMs = 29_999))
        assertNotEquals(first, distribution.followerFor(machine(1), followers, nowMs = 30_000))
    }

    @Test
    fun `a leader without followers serves all workers`() {
        assertNull(distribution.followerFor(machine(1), emptyList(), nowMs = 0))
    }

    @Test
    fun `with only one follower the leader keeps some of the workers`() {
        val kept = (1..300).count { distribution.followerFor(machine(it), listOf("n1"), nowMs = it * 100L) == null }
        assertTrue(kept in 50..150) { "the leader kept $kept of 300 workers, not 50 to 150" }
    }
}
