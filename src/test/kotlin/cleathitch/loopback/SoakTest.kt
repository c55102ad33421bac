package cleathitch.loopback

import com.fasterxml.jackson.databind.JsonNode
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Three real processes whose state service is held, slowed, reset or refused, for all or for one of them, in seeded order.
 * Once that is over, every accepted job is answered in time, nothing that was told is taken back, and no client has lost
 * a connection.
 *
 * `mvn -Dtest=SoakTest -Dsoak.seconds=1200 -Dsoak.seed=7 test` plays a longer day.
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

    private val accepted = ConcurrentHashMap.newKeySet<String>()

    /** Jobs of which somebody was told that they are done. */
    private val done = ConcurrentHashMap.newKeySet<String>()
    private val broken = ConcurrentHashMap.newKeySet<String>()

    @Volatile
    private var userOn = true

    @AfterEach
    fun stop() {
        cluster.close()
        proxies.forEach { it.close() }
        platform.stop()
    }

    @Test
    fun `after a state service in trouble every accepted job is answered and no connection is lost`() {
        platform.workerAddr = "127.0.0.1:${ServerSocket(0).also { it.close() }.localPort}"
        cluster.startAll()
        val worker = StandInWorker(cluster.addresses, platform.workerAddr)
        val threads = listOf(thread(isDaemon = true) { worker.live() }, user(Random(seed + 1)))
        val endMs = nowMs() + soakMs
        while (nowMs() < endMs && broken.isEmpty()) trouble()
        proxies.forEach { it.trouble = NetworkFault.NONE }
        worker.use(threads) {
            val quietSinceMs = nowMs()
            for (id in accepted.toList()) {
                val leftMs = quietSinceMs + ANSWER_WITHIN_MS - nowMs()
                cluster.until("an answer about $id", leftMs) { poll(random.nextInt(NODES), id) }
            }
            for (id in accepted.toList()) cluster.doneAt(random.nextInt(NODES), id)
            assertConnectionsFree()
        }
        println("soak: seed $seed, ${soakMs / 1000} s, ${accepted.size} jobs accepted, ${elections()} elections")
        assertEquals(emptySet<String>(), broken.toSet()) { cluster.logs() }
        assertTrue(accepted.size >= LEAST_JOBS) { "only ${accepted.size} jobs were accepted\n" + cluster.logs() }
    }

    /** The worker and the user go on until [checks] are over. */
    private fun StandInWorker.use(threads: List<Thread>, checks: () -> Unit) {
        try {
            checks()
        } finally {
            on = false
            userOn = false
            threads.forEach { it.join() }
        }
    }

    /** One trouble and a pause: for all nodes, which see the same, or for one of them. */
    private fun trouble() {
        val kind = NetworkFault.entries.random(random)
        val troubled = if (random.nextBoolean()) proxies else listOf(proxies.random(random))
        troubled.forEach { it.trouble = kind }
        Thread.sleep(random.nextLong(300, 3500))
        troubled.forEach { it.trouble = NetworkFault.NONE }
        Thread.sleep(random.nextLong(200, 3000))
    }

    /** Submits jobs, and asks about those that were accepted, at any node. */
    private fun user(random: Random) = thread(isDaemon = true) {
        var number = 0
        while (userOn) {
            val id = "j-%06d".format(number % MAX_JOBS)
            if (request(random.nextInt(NODES), "POST", "/submissions", id, cluster.job(id, tasks = 1)) != null) number++
            accepted.randomOrNull(random)?.let { poll(random.nextInt(NODES), it) }
            Thread.sleep(USER_MS)
        }
    }

    /** The answer of [node] about a job that was accepted, or null if it gave none. */
    private fun poll(node: Int, id: String) = request(node, "GET", "/submissions/$id", id)

    private fun request(node: Int, method: String, path: String, id: String, body: JsonNode? = null): Reply? {
        val wasDone = id in done
        val answer = ask(cluster.port(node), method, path, body) ?: return null
        if (answer.status == 404) broken += "forgotten: $id"
        if (answer.status != 200 && answer.status != 201) return null
        if (wasDone && answer.state != "done") broken += "went_back: $id was done, now ${answer.state}"
        if (answer.state == "done") done += id
        accepted += id
        return answer
    }

    /** A watch of the leader's key is always under way, so the clients that watch hold a connection each. */
    private fun assertConnectionsFree() {
        for (node in 0 until NODES) {
            cluster.until("free connections at n$node") {
                val metrics = askText(cluster.internalPort(node), "/metrics")
                metrics?.takeIf { CLIENTS.all { client -> gauge(it, "in_use", client) == 0 && gauge(it, "waiting", client) == 0 } }
            }
        }
    }

    private fun gauge(metrics: String, name: String, client: String) = metrics.lines().single {
        it.startsWith("http.client.$name.") && "client=$client " in "$it "
    }.substringAfterLast(' ').toDouble().toInt()

    private fun elections() = (0 until NODES).sumOf { node ->
        askText(cluster.internalPort(node), "/metrics").orEmpty().lines().filter { it.startsWith("leader.elections") }
            .sumOf { it.substringAfterLast(' ').toDouble().toInt() }
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    private companion object {
        const val NODES = LoopbackCluster.NODES
        const val ANSWER_WITHIN_MS = 75_000L
        const val MAX_JOBS = 400
        const val LEAST_JOBS = 20
        const val USER_MS = 100L

        /** The clients that have nothing under way in a quiet moment. */
        val CLIENTS = listOf("state", "lease", "cloud", "workers")
    }
}
