package cleathitch.election

import cleathitch.http.Address
import cleathitch.loopback.SimulatedPlatform
import cleathitch.storage.KeyValueStoreClient
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Elections against a state service over HTTP. */
class LeaderElectionTest {
    private val platform = SimulatedPlatform()
    private val vertx = Vertx.vertx()
    private val scope = CoroutineScope(vertx.dispatcher())
    private val elected = LinkedBlockingQueue<LeaderLease>()

    @AfterEach
    fun stop() {
        scope.cancel()
        vertx.close()
        platform.close()
    }

    private fun compete() {
        val leadership = LeaderElection(
            KeyValueStoreClient(vertx, Address("127.0.0.1", platform.port), timeoutMs = 500),
            "n0",
            "one",
            ttlMs = 1000,
            "leader/cleathitch",
        ) { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) }
        val listener = object : ElectionListener {
            override fun elected(lease: LeaderLease) {
                elected += lease
            }
            override fun deposed(lease: LeaderLease, reason: String) = Unit
            override fun leaderIs(member: String?, term: Long) = Unit
        }
        scope.launch { leadership.run(listener) }
    }

    private fun next(): LeaderLease = elected.poll(30, TimeUnit.SECONDS) ?: throw AssertionError("nobody was elected")

    /**
     * A term's rentals are named by counting from nought, and its versions rise from the term's own. A node that gave
     * a term up, and couldn't end its lease, once found the key to be its own and led the same term anew.
     */
    @Test
    fun `a term that was given up isn't led again`() {
        compete()
        val first = next()
        platform.store.rejectsReleases = true
        first.resign("for the test", transferLeadership = false)
        val second = next()
        assertTrue(second.term.revision > first.term.revision) { "${second.term} after ${first.term}" }
    }

    /** Else a process whose work stands still would keep everybody from leading, for as long as it renews. */
    @Test
    fun `a leader whose work doesn't get on gives up, and its lease isn't held beyond its time`() {
        compete()
        val first = next()
        // Nobody tells it that the work gets on.
        val second = next()
        assertTrue(second.term.revision > first.term.revision)
        assertTrue(first.validUntilMs <= TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))
    }
}
