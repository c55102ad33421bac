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

/** [LeaderElection] against a key-value store over HTTP. */
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

    private fun campaign() {
        val election = LeaderElection(
            KeyValueStoreClient(vertx, Address("127.0.0.1", platform.port), timeoutMs = 500),
            member = "n0",
            incarnation = "one",
            ttlMs = 1000,
            leaderKey = "leader/cleathitch",
            ::steadyMs,
        )
        val listener = object : ElectionListener {
            override fun onElected(lease: LeaderLease) {
                elected += lease
            }
            override fun onDeposed(lease: LeaderLease, reason: TermEndReason) = Unit
            override fun onLeaderObserved(member: String?, term: Long) = Unit
        }
        scope.launch { election.run(listener) }
    }

    private fun awaitElection(): LeaderLease = elected.poll(ELECTION_TIMEOUT_S, TimeUnit.SECONDS)
        ?: throw AssertionError("nobody was elected within $ELECTION_TIMEOUT_S s")

    /**
     * A term counts its rental requests from 0 and its fencing tokens from the term's own. Led twice, it would use both again. So a
     * controller that resigned and couldn't revoke its lease must not take the key, which still is its own, for a term to lead.
     */
    @Test
    fun `a term that was resigned is not led again`() {
        campaign()
        val first = awaitElection()
        platform.store.rejectsReleases = true
        first.resign("for the test", transferLeadership = false)
        val second = awaitElection()
        assertTrue(second.term.revision > first.term.revision) { "${second.term} after ${first.term}" }
    }

    /** A stalled process that went on renewing its lease would keep every other controller from leading. */
    @Test
    fun `a leader without progress is deposed and its lease expires`() {
        campaign()
        val first = awaitElection()
        // Nothing reports progress to the lease.
        val second = awaitElection()
        assertTrue(second.term.revision > first.term.revision)
        assertTrue(first.validUntilMs <= steadyMs())
    }

    private fun steadyMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    private companion object {
        const val ELECTION_TIMEOUT_S = 30L
    }
}
