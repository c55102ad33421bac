package cleathitch.workers

import cleathitch.core.MachineId
import cleathitch.core.OrderVersion
import cleathitch.core.Report
import cleathitch.workers.Redirects.Way
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A follower, whose leader n1 leads in term 9; reports come every 6 s. */
class RedirectsTest {
    private val redirects = Redirects(reportMs = 6000)
    private val unanswered = OrderVersion.first(8)
    private val answered = OrderVersion.first(9).next()

    private fun way(version: OrderVersion, atS: Int, leader: String = "n1", term: Long = 9, machine: String = "vm-1") =
        redirects.wayOf(Report(MachineId(machine), "x", "m", "z", false, 1, 1, version, null, emptyList()), leader, term, atS * 1000L)

    @Test
    fun `a worker that never met the leader is sent there, and relayed if it comes back`() {
        assertEquals(Way.TO_LEADER, way(unanswered, atS = 0))
        assertEquals(Way.RELAY, way(unanswered, atS = 5))
        assertEquals(Way.TO_LEADER, way(unanswered, atS = 5, machine = "vm-2"))
    }

    /** Sent there once more, it loses five seconds before it is back, and the leader takes it for silent. */
    @Test
    fun `a worker that the leader has answered is relayed at once, and sent there again later`() {
        assertEquals(Way.RELAY, way(answered, atS = 0))
        assertEquals(Way.RELAY, way(answered, atS = 29))
        assertEquals(Way.RELAY_THEN_TO_LEADER, way(answered, atS = 30))
        assertEquals(Way.RELAY, way(answered, atS = 36))
    }

    /** An election sends every worker a second time. */
    @Test
    fun `a new leader gets its workers directly`() {
        assertEquals(Way.TO_LEADER, way(unanswered, atS = 0))
        assertEquals(Way.TO_LEADER, way(answered, atS = 3, leader = "n2", term = 10))
    }
}
