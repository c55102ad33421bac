package cleathitch.loopback

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.random.Random

/**
 * Injects faults between three controller processes and the key-value store, in an order given by a seed: the connections of
 * one or all controllers stall, slow down or are reset, or their requests get responses with status 503. Afterwards every
 * accepted job must be done in time, no response may have contradicted an earlier one, and no HTTP client may have leaked a connection.
 *
 * For a longer run: `mvn -Dtest=SoakTest -Dsoak.seconds=1200 -Dsoak.seed=7 test`.
 */
class SoakTest {
    @TempDir
    lateinit var dir: Path
    private val seed = Integer.getInteger("soak.seed", 23)
    private val soakMs = Integer.getInteger("soak.seconds", 60) * 1000L
    private val random = Random(seed)
    private val platform = SimulatedPlatform()
    private val proxies = List(LoopbackCluster.NODES) { FaultyProxy(platform.port, seed + it) }
    private val cluster by lazy { LoopbackCluster(dir, platform) { proxies[it].port } }

    @AfterEach
    fun stop() {
        cluster.close()
        proxies.forEach { it.close() }
        platform.close()
    }

    @Test
    fun `after faults of the key-value store every accepted job finishes and no connection is leaked`() {
        val address = "127.0.0.1:${LoopbackHttp.freePorts(1).single()}"
        platform.addMachine("vm-000001", address)
        cluster.startAll()
        val worker = SimulatedWorker("vm-000001", address, cluster.addresses)
        val user = SimulatedUser(cluster, Random(seed + 1))
        worker.use {
            user.use {
                val endMs = nowMs() + soakMs
                while (nowMs() < endMs && user.violations.isEmpty()) injectFault()
                assertAcceptedJobsDone(user)
                assertClientsIdle()
            }
        }
        println("soak: seed $seed, ${soakMs / 1000} s, ${user.accepted.size} jobs accepted, ${elections()} elections")
        assertEquals(emptySet<String>(), user.violations.toSet()) { cluster.logs() }
        assertTrue(user.accepted.size >= MIN_ACCEPTED_JOBS) {
            "only ${user.accepted.size} jobs were accepted, expected at least $MIN_ACCEPTED_JOBS\n" + cluster.logs()
        }
    }

    /** Injects one fault, into the connections of one controller or all of them, and pauses after it. */
    private fun injectFault() {
        val fault = NetworkFault.entries.random(random)
        val affected = if (random.nextBoolean()) proxies else listOf(proxies.random(random))
        affected.forEach { it.fault = fault }
        Thread.sleep(random.nextLong(MIN_FAULT_MS, MAX_FAULT_MS))
        affected.forEach { it.fault = NetworkFault.NONE }
        Thread.sleep(random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS))
    }

    /**
     * Checks that for each accepted job a poll gets a response within [REPLY_TIMEOUT_MS] of the end of the last fault, and that the job
     * is then done in time.
     */
    private fun assertAcceptedJobsDone(user: SimulatedUser) {
        val lastFaultEndMs = nowMs()
        for (id in user.accepted.toList()) {
            val remainingMs = lastFaultEndMs + REPLY_TIMEOUT_MS - nowMs()
            cluster.await("response about $id", remainingMs) { user.pollOrNull(randomNode(), id) }
        }
        for (id in user.accepted.toList()) cluster.awaitDone(randomNode(), id)
    }

    /** A watch of the leader key is always in progress, so the clients that watch keep a connection in use and are not checked. */
    private fun assertClientsIdle() {
        for (node in 0 until LoopbackCluster.NODES) {
            cluster.await("idle clients at n$node") {
                val metrics = LoopbackHttp.textOrNull(cluster.internalPort(node), "/metrics")
                metrics?.takeIf { IDLE_CLIENTS.all { client -> gauge(it, "in_use", client) == 0 && gauge(it, "waiting", client) == 0 } }
            }
        }
    }

    private fun gauge(metrics: String, name: String, client: String) = metrics.lines().single {
        it.startsWith("http.client.$name.") && "client=$client " in "$it "
    }.substringAfterLast(' ').toDouble().toInt()

    private fun elections() = (0 until LoopbackCluster.NODES).sumOf { node ->
        LoopbackHttp.textOrNull(cluster.internalPort(node), "/metrics").orEmpty().lines().filter { it.startsWith("leader.elections") }
            .sumOf { it.substringAfterLast(' ').toDouble().toInt() }
    }

    private fun randomNode() = random.nextInt(LoopbackCluster.NODES)

    private fun nowMs() = System.nanoTime() / 1_000_000

    private companion object {
        const val REPLY_TIMEOUT_MS = 75_000L
        const val MIN_ACCEPTED_JOBS = 20
        const val MIN_FAULT_MS = 300L
        const val MAX_FAULT_MS = 3500L
        const val MIN_PAUSE_MS = 200L
        const val MAX_PAUSE_MS = 3000L

        /** The HTTP clients that become idle when there is no fault. */
        val IDLE_CLIENTS = listOf("state", "lease", "cloud", "workers")
    }
}
