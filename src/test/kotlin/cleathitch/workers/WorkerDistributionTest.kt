package cleathitch.workers

import cleathitch.scheduler.model.MachineId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Workers that send heartbeats to the leader, every 6 s. */
class WorkerDistributionTest {
    private val distribution = WorkerDistribution(heartbeatMs = 6000)
    private val followers = listOf("n1", "n2", "n3")
    private fun machine(number: Int) = MachineId("vm-%06d".format(number))

    @Test
    fun `workers are spread evenly over the followers`() {
        val counts = (1..300).map { distribution.followerFor(machine(it), followers, nowMs = it * 20L) }.groupingBy { it }.eachCount()
        assertEquals(mapOf("n1" to 100, "n2" to 100, "n3" to 100), counts)
    }

    /** A follower that has just started can't serve a whole fleet at once: most workers would time out and return to the leader. */
    @Test
    fun `a follower gets new workers at a bounded pace, and the leader serves the rest`() {
        val atOnce = (1..1000).mapNotNull { distribution.followerFor(machine(it), followers, nowMs = 0) }
        assertEquals(followers, atOnce.sorted())
        val inOnePeriod = (1..1000).mapNotNull { distribution.followerFor(machine(it), followers, nowMs = 6000L + it * 6) }
        assertTrue(inOnePeriod.size in 400..450) { "${inOnePeriod.size}" }
    }

    @Test
    fun `a worker that comes back is served, and later sent to another follower`() {
        val first = distribution.followerFor(machine(1), followers, nowMs = 0)
        assertNull(distribution.followerFor(machine(1), followers, nowMs = 5_000))
        assertNull(distribution.followerFor(machine(1), followers, nowMs = 29_999))
        assertNotEquals(first, distribution.followerFor(machine(1), followers, nowMs = 30_000))
    }

    @Test
    fun `a leader without followers serves everyone`() {
        assertNull(distribution.followerFor(machine(1), emptyList(), nowMs = 0))
    }

    @Test
    fun `with a single follower the leader keeps a part`() {
        val kept = (1..300).count { distribution.followerFor(machine(it), listOf("n1"), nowMs = it * 100L) == null }
        assertTrue(kept in 50..150) { "$kept" }
    }
}
