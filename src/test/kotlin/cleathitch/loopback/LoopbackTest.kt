package cleathitch.loopback

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.concurrent.thread

/** Three real processes on loopback, against HTTP stand-ins. */
class LoopbackTest {
    @TempDir
    lateinit var dir: Path
    private val platform = SimulatedPlatform()
    private val cluster by lazy { LoopbackCluster(dir, platform) { platform.port } }

    @AfterEach
    fun stop() {
        cluster.close()
        platform.stop()
    }

    /** The process that led is back at once, under its predecessor's lease and in the middle of the election. */
    @Test
    fun `what was accepted runs once and stays known when the leader is killed and back at once`() {
        val direct = ServerSocket(0).also { it.close() }.localPort
        platform.workerAddr = "127.0.0.1:$direct"
        val worker = StandInWorker(cluster.addresses, platform.workerAddr)
        cluster.startAll()
        val reporting = thread(isDaemon = true) { worker.live() }
        cluster.submit(0, "j-000001")
        cluster.doneAt(1, "j-000001")
        assertEquals(404, cluster.until("answer") { ask(cluster.port(2), "GET", "/submissions/j-000099") }.status)
        cluster.submit(2, "j-000002")
        val killed = platform.leader()!!.removePrefix("n").toInt()
        cluster.kill(killed)
        cluster.start(killed)
        cluster.submit((killed + 1) % 3, "j-000003")
        for (node in 0..2) for (id in listOf("j-000001", "j-000002", "j-000003")) cluster.doneAt(node, id)
        assertEquals(200, cluster.submit(killed, "j-000001").status)
        worker.on = false
        reporting.join()
        assertEquals(9, worker.runs.size)
        assertTrue(worker.runs.values.all { it == 1 }) { "${worker.runs}" }
    }
}
