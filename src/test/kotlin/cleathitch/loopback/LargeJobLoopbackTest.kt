package cleathitch.loopback

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

/**
 * A job of which thousands of tasks run at once, on three controller processes and a key-value store that keeps its limits. It must
 * not keep other jobs from running, also if leaders are killed while the job is compacted.
 */
class LargeJobLoopbackTest {
    @TempDir
    lateinit var dir: Path
    private val platform = SimulatedPlatform()
    private val cluster by lazy { LoopbackCluster(dir, platform) { platform.port } }
    private val workers = ArrayList<SimulatedWorker>()

    @AfterEach
    fun stop() {
        workers.forEach { it.close() }
        cluster.close()
        platform.close()
    }

    /** Once some 2,700 tasks of one job ran, the leader repeated a commit over the limit for good, and no other job got a task. */
    @Test
    fun `other jobs run beside a job with thousands of live tasks while leaders are killed in the middle of its compaction`() {
        startFleet()
        cluster.submit(0, LARGE_JOB, tasks = LIVE_TASKS, cpus = CPUS_PER_TASK)
        cluster.await("$LIVE_TASKS running tasks") { started().takeIf { it.size >= LIVE_TASKS } }
        repeat(TAKEOVERS) { takeover ->
            // The compaction of a term begins 10 s after its start and takes several commits.
            Thread.sleep(COMPACTION_MS + takeover * BETWEEN_COMMITS_MS)
            val id = "j-00001$takeover"
            cluster.submit(takeover, id, tasks = 3)
            val leader = cluster.awaitLeader()
            cluster.kill(leader)
            cluster.start(leader)
            cluster.awaitDone((leader + 1) % LoopbackCluster.NODES, id)
        }
        assertEquals(emptyList<String>(), platform.store.rejectedTransactions())
        assertEquals(emptyMap<String, Int>(), started().filterValues { it != 1 }) { cluster.logs() }
        println("large job: ${started().size} tasks started, ${platform.store.storedBytes()} bytes stored")
        assertTrue(cluster.awaitKnown(0, LARGE_JOB).jobState == "running")
    }

    /**
     * An earlier build beside the current one reads what that stored. To run it with such a build:
     * `mvn -Dtest=LargeJobLoopbackTest -Dprevious.jar=/path/to/cleathitch.jar test`.
     */
    @Test
    fun `a previous build that takes over a large job starts none of its tasks again`() {
        startFleet()
        cluster.submit(0, LARGE_JOB, tasks = LIVE_TASKS, cpus = CPUS_PER_TASK)
        cluster.await("$LIVE_TASKS running tasks") { started().takeIf { it.size >= LIVE_TASKS } }
        Thread.sleep(COMPACTION_MS)
        val bytesBefore = platform.store.storedBytes()
        (0 until LoopbackCluster.NODES).forEach(cluster::kill)
        (0 until LoopbackCluster.NODES).forEach { cluster.start(it, ControllerBuild.previous()) }
        val status = cluster.awaitKnown(0, LARGE_JOB)
        assertTrue(status.jobState in setOf("pending", "running")) { "state ${status.jobState}" }
        cluster.submit(1, "j-000020", tasks = 3)
        cluster.awaitDone(2, "j-000020")
        println("large job: $bytesBefore bytes stored, read by ${ControllerBuild.previous()}")
        assertEquals(emptyMap<String, Int>(), started().filterValues { it != 1 }) { cluster.logs() }
    }

    private fun startFleet() {
        val machines = LoopbackHttp.freePorts(MACHINES).mapIndexed { i, port -> "vm-%06d".format(i + 1) to "127.0.0.1:$port" }
        machines.forEach { (machine, address) -> platform.addMachine(machine, address) }
        cluster.startAll()
        machines.mapTo(workers) { (machine, address) ->
            SimulatedWorker(machine, address, cluster.addresses) { task -> task.startsWith(LARGE_JOB) }
        }
    }

    /** The number of starts of each task, on all machines together. */
    private fun started(): Map<String, Int> =
        workers.flatMap { it.starts.entries }.groupingBy { it.key }.fold(0) { sum, entry -> sum + entry.value }

    private companion object {
        const val LARGE_JOB = "j-000001"
        const val MACHINES = 16

        /** A machine has room for 333 such tasks, so the large job leaves some machines to other jobs. */
        const val CPUS_PER_TASK = 0.012

        /** More live tasks than a transaction has room for. */
        const val LIVE_TASKS = 4000
        const val TAKEOVERS = 2
        const val COMPACTION_MS = 10_000L
        const val BETWEEN_COMMITS_MS = 100L
    }
}
