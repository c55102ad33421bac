package cleathitch.controller

import cleathitch.peers.KnownLeader
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The leader that a follower knows, and the follower's readiness. */
class ControllerRoleTest {
    private val leaderLeaseMs = 1000L
    private var nowMs = 5000L
    private val role = ControllerRole("n0", { nowMs }, CoroutineScope(Dispatchers.Unconfined), SimpleMeterRegistry()) { _, _ ->
        throw AssertionError("a term was created on a follower")
    }
    private val contacts = FollowerContacts({ nowMs }, leaderLeaseMs)
    private val readiness = Readiness(role, contacts, peerCount = 2, leaderLeaseMs, { nowMs })

    @Test
    fun `the holder of the leader key is the known leader`() {
        assertEquals(null, role.knownLeader())
        role.onLeaderObserved("n1", 7)
        assertEquals(KnownLeader("n1", 7), role.knownLeader())
        role.onLeaderObserved(null, 8)
        assertEquals(null, role.knownLeader())
        assertEquals(8, role.leaderTerm)
    }

    @Test
    fun `an announcement of a newer term changes the known leader, one of an older term doesn't`() {
        role.onLeaderAnnouncement("n1", 7)
        role.onLeaderAnnouncement("n2", 8)
        role.onLeaderAnnouncement("n1", 7)
        assertEquals(KnownLeader("n2", 8), role.knownLeader())
    }

    @Test
    fun `the known leader is never the controller itself`() {
        role.onLeaderObserved("n0", 7)
        assertEquals(null, role.knownLeader())
    }

    @Test
    fun `awaitLeader returns when the first holder of the leader key is observed`() = runBlocking {
        role.onLeaderObserved("n1", 7)
        withTimeout(10_000) { role.awaitLeader(timeoutMs = Long.MAX_VALUE) }
    }

    @Test
    fun `a follower is ready until it has had no contact with the leader for three lease durations`() {
        assertFalse(readiness.isReady())
        role.onLeaderAnnouncement("n1", 7)
        nowMs += 3 * leaderLeaseMs - 1
        assertTrue(readiness.isReady())
        nowMs += 1
        assertFalse(readiness.isReady())
        role.onLeaderAnnouncement("n1", 7)
        assertTrue(readiness.isReady())
    }

    @Test
    fun `observing a new holder of the leader key counts as contact with the leader, but observing the same holder again doesn't`() {
        role.onLeaderObserved("n1", 7)
        nowMs += 3 * leaderLeaseMs
        role.onLeaderObserved("n1", 7)
        assertFalse(readiness.isReady())
        role.onLeaderObserved("n2", 8)
        assertTrue(readiness.isReady())
    }
}
