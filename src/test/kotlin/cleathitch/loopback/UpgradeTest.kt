package cleathitch.loopback

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * A rolling upgrade of three controller processes on 127.0.0.1 from a previous build to the current one, and its rollback. Upgrade
 * and rollback keep the members and the stored state. Meanwhile users submit and poll jobs, and workers send heartbeats. The leader is
 * replaced last, so that each build leads followers that run the other build and recovers from the log that the other wrote.
 *
 * `mvn -Dtest=UpgradeTest -Dprevious.jar=/path/to/cleathitch.jar test`; without the property the previous build is the current one.
 */
class UpgradeTest {
    @TempDir
    lateinit var dir: Path
    private val previous = ControllerBuild.previous()
    private val platform = SimulatedPlatform()
    private val cluster by lazy { LoopbackCluster(dir, platform) { platform.port } }
    private val random = Random(SEED)

    /** Jobs whose tasks keep running until the job is removed from this set. */
    private val heldJobs = ConcurrentHashMap.newKeySet<String>()
    private val submitted = ArrayList<String>()

    @AfterEach
    fun stop() {
        cluster.close()
        platform.close()
    }

    @Test
    fun `accepted jobs finish and done jobs stay done during a rolling upgrade and its rollback`() {
        val startMs = nowMs()
        val machines = LoopbackHttp.freePorts(2).mapIndexed { i, port -> "vm-00000${i + 1}" to "127.0.0.1:$port" }
        machines.forEach { (machine, address) -> platform.addMachine(machine, address) }
        cluster.startAll(previous)
        val workers = machines.map { (machine, address) ->
            SimulatedWorker(machine, address, cluster.addresses) { task -> task.substringBefore('/') in heldJobs }
        }
        val users = List(2) {
            SimulatedUser(cluster, Random(SEED + it), firstJob = (it + 1) * MAX_JOBS_PER_USER, maxJobs = MAX_JOBS_PER_USER, USER_PAUSE_MS)
        }
        try {
            submitHeld(JOB_HELD_DURING_UPGRADE, workers)
            replaceAll(ControllerBuild.Current)
            releaseHeld(JOB_HELD_DURING_UPGRADE)

            submitHeld(JOB_HELD_DURING_ROLLBACK, workers)
            replaceAll(previous)
            releaseHeld(JOB_HELD_DURING_ROLLBACK)

            for (id in submitted + users.flatMap { it.accepted }) cluster.awaitDone(random.nextInt(LoopbackCluster.NODES), id)
        } finally {
            (users + workers).forEach { it.close() }
        }
        println("upgrade from $previous: ${submitted.size} jobs and ${users.map { it.accepted.size }} by users, ${nowMs() - startMs} ms")
        assertEquals(emptySet<String>(), users.flatMap { it.violations }.toSet()) { cluster.logs() }
        assertTasksStartedOnce(workers)
    }

    /** Submits a job with one task and waits until a worker starts it. The task runs until [releaseHeld]. */
    private fun submitHeld(id: String, workers: List<SimulatedWorker>) {
        heldJobs += id
        cluster.submit(0, id, tasks = 1)
        submitted += id
        cluster.await("start of $id") { workers.firstOrNull { "$id/0" in it.starts } }
    }

    private fun releaseHeld(id: String) {
        for (node in 0 until LoopbackCluster.NODES) assertEquals("running", cluster.awaitKnown(node, id).jobState)
        heldJobs -= id
        for (node in 0 until LoopbackCluster.NODES) cluster.awaitDone(node, id)
    }

    /** Replaces the processes one after the other, the leader last, by processes that run [build]. */
    private fun replaceAll(build: ControllerBuild) {
        val pending = (0 until LoopbackCluster.NODES).toMutableSet()
        while (pending.isNotEmpty()) {
            val leader = cluster.awaitLeader()
            val node = pending.firstOrNull { it != leader } ?: leader
            val killedMs = nowMs()
            cluster.kill(node)
            cluster.start(node, build)
            cluster.awaitReady(node)
            pending -= node
            val readyMs = nowMs()
            assertEachNodeServes()
            println("upgrade: n$node runs $build, ready in ${readyMs - killedMs} ms, served after ${nowMs() - readyMs} ms")
        }
    }

    /** Submits a job to each controller and waits until the next controller reports it as done. */
    private fun assertEachNodeServes() {
        val ids = (0 until LoopbackCluster.NODES).associateWith { "j-%06d".format(submitted.size + it) }
        ids.forEach { (node, id) -> cluster.submit(node, id, tasks = 1) }
        submitted += ids.values
        ids.forEach { (node, id) -> cluster.awaitDone((node + 1) % LoopbackCluster.NODES, id) }
    }

    private fun assertTasksStartedOnce(workers: List<SimulatedWorker>) {
        val starts = workers.flatMap { it.starts.entries }.groupingBy { it.key }.fold(0) { sum, entry -> sum + entry.value }
        assertEquals(emptyMap<String, Int>(), starts.filterValues { it != 1 }) { cluster.logs() }
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    private companion object {
        const val SEED = 23
        const val MAX_JOBS_PER_USER = 100_000
        const val USER_PAUSE_MS = 400L

        /** Accepted while the previous build runs, finished while the current build runs. */
        const val JOB_HELD_DURING_UPGRADE = "j-090001"

        /** Accepted while the current build runs, finished while the previous build runs. */
        const val JOB_HELD_DURING_ROLLBACK = "j-090002"
    }
}
