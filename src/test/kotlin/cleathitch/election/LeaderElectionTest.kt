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

/** [LeaderElection] against a simulated key-value store over HTTP. */
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

    private fun startElection() {
        val election = LeaderElection(
            KeyValueStoreClient(vertx, Address("127.0.0.1", platform.port), timeoutMs = 500),
            member = "n0",
            incarnation = "one",
            ttlMs = 1000,
            leaderKey = "leader/cleathitch",
            ::monotonicMs,
        )
        val listener = object : ElectionListener {
            override fun onElected(lease: LeaderLease) {
                elected += lease
            }
            override fun onTermEnded(lease: LeaderLease, reason: TermEndReason) = Unit
            override fun onLeaderObserved(member: String?, term: Long) = Unit
        }
        scope.launch { election.run(listener) }
    }

    private fun awaitElection(): LeaderLease = elected.poll(ELECTION_TIMEOUT_S, TimeUnit.SECONDS)
        ?: throw AssertionError("no leader was elected within $ELECTION_TIMEOUT_S s")

    /**
     * Within a term, rental requests are numbered from 0, and fencing tokens from the term's initial token. A controller that led the
     * same term twice would reuse both. A controller that has resigned but failed to revoke its lease still holds the leader's key,
     * but must not resume the term.
     */
    @Test
    fun `a controller does not resume a term from which it resigned`() {
        startElection()
        val first = awaitElection()
        platform.store.rejectsLeaseRevocations = true
        first.resign("for the test", transferLeadership = false)
        val second = awaitElection()
        assertTrue(second.term.revision > first.term.revision) { "elected for ${second.term}, which is not newer than ${first.term}" }
    }

    /** If a stalled leader went on renewing its lease, no other controller could be elected. */
    @Test
    fun `a leader that makes no progress is deposed and its lease expires`() {
        startElection()
        val first = awaitElection()
        // The test never calls recordProgress on the lease.
        val second = awaitElection()
        assertTrue(second.term.revision > first.term.revision)
        assertTrue(first.validUntilMs <= monotonicMs())
    }

    private fun monotonicMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    private companion object {
        const val ELECTION_TIMEOUT_S = 30L
    }
}
