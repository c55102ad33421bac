package cleathitch.controller

import cleathitch.scheduler.model.MachineId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FollowerContactsTest {
    private var nowMs = 1000L
    private val contacts = FollowerContacts(monotonicMs = { nowMs }, reachableMs = 100)

    @Test
    fun `a follower is reachable for reachableMs after its last contact`() {
        contacts.recordContact("n1")
        nowMs += 99
        contacts.recordContact("n2")
        assertEquals(setOf("n1", "n2"), contacts.reachableFollowers().toSet())
        nowMs += 1
        assertEquals(listOf("n2"), contacts.reachableFollowers())
    }

    @Test
    fun `a contact counts only if it was within the given time, and an unknown follower never had one`() {
        contacts.recordContact("n1")
        nowMs += 10
        assertTrue(contacts.hadContact("n1", withinMs = 11))
        assertFalse(contacts.hadContact("n1", withinMs = 10))
        assertFalse(contacts.hadContact("n2", withinMs = Long.MAX_VALUE))
    }

    @Test
    fun `a machine's follower is the one that forwarded its last heartbeat`() {
        val machine = MachineId("vm-000001")
        assertEquals(null, contacts.followerOf(machine))
        contacts.recordHeartbeats("n1", listOf(machine))
        contacts.recordHeartbeats("n2", listOf(machine))
        assertEquals("n2", contacts.followerOf(machine))
    }
}
