package cleathitch.loopback

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.random.Random

/**
 * Three real processes whose connections to the state store stall, slow down, are reset or refused, for all or for one of
 * them, in seeded order. Once that is over, every accepted job is answered in time, no reply was taken back, and no client
 * has lost a connection.
 *
 * `mvn -Dtest=SoakTest -Dsoak.seconds=1200 -Dsoak.seed=7 test` runs it for longer.
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
    fun `after faults of the state store every accepted job is answered and no connection is lost`() {
        val address = "127.0.0.1:${LoopbackHttp.freePorts(1).single()}"
        platform.addMachine("vm-000001", address)
        cluster.startAll()
        val worker = SimulatedWorker("vm-000001", address, cluster.addresses)
        val user = SimulatedUser(cluster, Random(seed + 1))
        worker.use {
            user.use {
                val endMs = nowMs() + soakMs
                while (nowMs() < endMs && user.violations.isEmpty()) injectFault()
                assertAcceptedJobsAnswered(user)
                assertConnectionsFree()
            }
        }
        println("soak: seed $seed, ${soakMs / 1000} s, ${user.accepted.size} jobs accepted, ${elections()} elections")
        assertEquals(emptySet<String>(), user.violations.toSet()) { cluster.logs() }
        assertTrue(user.accepted.size >= MIN_ACCEPTED_JOBS) { "only ${user.accepted.size} jobs were accepted\n" + cluster.logs() }
    }

    /** One fault and a pause: for all nodes or for one of them. */
    private fun injectFault() {
        val fault = NetworkFault.entries.random(random)
        val affected = if (random.nextBoolean()) proxies else listOf(proxies.random(random))
        affected.forEach { it.fault = fault }
        Thread.sleep(random.nextLong(MIN_FAULT_MS, MAX_FAULT_MS))
        affected.forEach { it.fault = NetworkFault.NONE }
        Thread.sleep(random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS))
    }

    /** The time limit for the first answer about each job counts from the last fault. */
    private fun assertAcceptedJobsAnswered(user: SimulatedUser) {
        val faultsOverMs = nowMs()
        for (id in user.accepted.toList()) {
            val leftMs = faultsOverMs + ANSWER_TIMEOUT_MS - nowMs()
            cluster.await("an answer about $id", leftMs) { user.pollOrNull(randomNode(), id) }
        }
        for (id in user.accepted.toList()) cluster.awaitDone(randomNode(), id)
    }

    /** A watch of the leader's key is always under way, so the clients that watch hold a connection each. */
    private fun assertConnectionsFree() {
        for (node in 0 until LoopbackCluster.NODES) {
            cluster.await("free connections at n$node") {
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
        const val ANSWER_TIMEOUT_MS = 75_000L
        const val MIN_ACCEPTED_JOBS = 20
        const val MIN_FAULT_MS = 300L
        const val MAX_FAULT_MS = 3500L
        const val MIN_PAUSE_MS = 200L
        const val MAX_PAUSE_MS = 3000L

        /** The clients that have nothing under way while no fault is on. */
        val IDLE_CLIENTS = listOf("state", "lease", "cloud", "workers")
    }
}
