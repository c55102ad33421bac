package cleathitch.loopback

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

/** Failover of three controller processes on 127.0.0.1 with a simulated platform and a simulated worker. */
class LoopbackTest {
    @TempDir
    lateinit var dir: Path
    private val platform = SimulatedPlatform()
    private val cluster by lazy { LoopbackCluster(dir, platform) { platform.port } }

    @AfterEach
    fun stop() {
        cluster.close()
        platform.close()
    }

    /** The killed process is restarted during the election, before the lease that it held has expired. */
    @Test
    fun `accepted jobs run once and stay known when the leader is killed and restarted immediately`() {
        val address = "127.0.0.1:${LoopbackHttp.freePorts(1).single()}"
        platform.addMachine("vm-000001", address)
        cluster.startAll()
        val worker = SimulatedWorker("vm-000001", address, cluster.addresses)
        worker.use {
            cluster.submit(0, "j-000001")
            cluster.awaitDone(1, "j-000001")
            val unknown = cluster.await("response about an unknown job") {
                LoopbackHttp.callOrNull(cluster.port(2), "GET", "/submissions/j-000099")
            }
            assertEquals(404, unknown.status)
            cluster.submit(2, "j-000002")

            val killed = platform.leader()!!.removePrefix("n").toInt()
            cluster.kill(killed)
            cluster.start(killed)

            cluster.submit((killed + 1) % LoopbackCluster.NODES, "j-000003")
            for (node in 0 until LoopbackCluster.NODES) {
                for (id in listOf("j-000001", "j-000002", "j-000003")) cluster.awaitDone(node, id)
            }
            assertEquals(200, cluster.submit(killed, "j-000001").status)
        }
        assertEquals(9, worker.starts.size)
        assertTrue(worker.starts.values.all { it == 1 }) { "each task must be started once, starts by task: ${worker.starts}" }
    }
}
