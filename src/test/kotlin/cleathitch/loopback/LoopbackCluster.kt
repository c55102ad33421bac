package cleathitch.loopback

import cleathitch.protocol.MessageCodec
import com.fasterxml.jackson.databind.node.ObjectNode
import java.lang.ProcessBuilder.Redirect
import java.nio.file.Files
import java.nio.file.Path

/** The address of a cluster member for users and workers: [port] on 127.0.0.1. */
data class ControllerAddress(val member: String, val port: Int)

/**
 * Three controller processes, `n0` to `n2`, on 127.0.0.1. [close] kills them. Their settings and logs are files in [dir].
 * [storePort] gives the port at which a controller connects to the key-value store. Only [port] and [submissionBody] are
 * thread-safe; everything else is confined to the test's thread.
 */
class LoopbackCluster(private val dir: Path, private val platform: SimulatedPlatform, private val storePort: (node: Int) -> Int) :
    AutoCloseable {
    private val ports = LoopbackHttp.freePorts(2 * NODES)
    private val processes = arrayOfNulls<Process>(NODES)

    val addresses: List<ControllerAddress> get() = (0 until NODES).map { ControllerAddress("n$it", port(it)) }

    /** The port at which [node] serves users and workers. */
    fun port(node: Int) = ports[node]

    /** The port at which [node] serves its peers and its metrics. */
    fun internalPort(node: Int) = ports[NODES + node]

    fun start(node: Int, build: ControllerBuild = ControllerBuild.Current) {
        val settings = dir.resolve("n$node.json")
        Files.writeString(settings, settings(node))
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val arguments = listOf("serve", "--config", "$settings")
        val command = listOf(java) + JVM_OPTIONS + build.javaOptions + arguments
        val log = Redirect.appendTo(logFile(node).toFile())
        processes[node] = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start()
    }

    fun startAll(build: ControllerBuild = ControllerBuild.Current) {
        (0 until NODES).forEach { start(it, build) }
        (0 until NODES).forEach(::awaitReady)
    }

    fun awaitReady(node: Int) {
        await("n$node ready") { LoopbackHttp.callOrNull(port(node), "GET", "/ready")?.takeIf { it.status == 200 } }
    }

    fun kill(node: Int) {
        processes[node]?.destroyForcibly()?.waitFor()
    }

    /** Waits until a controller holds the leader key in the key-value store, and returns its index. */
    fun awaitLeader(): Int = await("a leader") { platform.leader() }.removePrefix("n").toInt()

    /**
     * Repeats [poll] until it returns a value, and fails after [timeoutMs]. The default is far longer than any operation takes, so
     * that the test's result does not depend on the machine's speed.
     */
    fun <T : Any> await(what: String, timeoutMs: Long = AWAIT_TIMEOUT_MS, poll: () -> T?): T {
        val endMs = System.nanoTime() / 1_000_000 + timeoutMs
        while (System.nanoTime() / 1_000_000 < endMs) {
            poll()?.let { return it }
            Thread.sleep(POLL_MS)
        }
        throw AssertionError("timed out after $timeoutMs ms waiting for: $what\n" + logs())
    }

    /** The last [LOG_TAIL_CHARS] characters of each controller's log. */
    fun logs() = (0 until NODES).joinToString("\n") { node ->
        val file = logFile(node)
        if (Files.exists(file)) Files.readString(file).takeLast(LOG_TAIL_CHARS) else "n$node: no log"
    }

    /** The body of a submission, for the only team and the only job class in the settings. */
    fun submissionBody(id: String, tasks: Int = 3, cpus: Double = 1.0): ObjectNode =
        MessageCodec.newMap().put("nameId", id).put("cuadrilla", "c").put("ownerCrew", "t").put("oficio", "array")
            .put("urgencia", "normal").put("tareas", tasks).put("vcpus", cpus).put("gpus", 0.0).put("memoryGb", cpus)
            .put("imagen", "i").put("pullGb", 1.0).put("oneZone", false).put("scatter", false).put("prestados", false)
            .put("aproxS", 1.0).put("hitoS", 0.0).put("guardadoS", 0.0)

    /** Repeats the submission of the job [id] until [node] accepts it. */
    fun submit(node: Int, id: String, tasks: Int = 3, cpus: Double = 1.0): ControllerReply = await("submission of $id at n$node") {
        LoopbackHttp.callOrNull(port(node), "POST", "/submissions", submissionBody(id, tasks, cpus))?.takeIf { it.isSuccess }
    }

    /** Polls [node] until it knows the job [id], in whatever state. */
    fun awaitKnown(node: Int, id: String): ControllerReply = await("$id known at n$node") {
        LoopbackHttp.callOrNull(port(node), "GET", "/submissions/$id")?.takeIf { it.status == 200 }
    }

    /** Polls [node] until it reports the job [id] as done. */
    fun awaitDone(node: Int, id: String): ControllerReply = await("$id done at n$node") {
        LoopbackHttp.callOrNull(port(node), "GET", "/submissions/$id")?.takeIf { it.status == 200 && it.jobState == "done" }
    }

    override fun close() = (0 until NODES).forEach(::kill)

    private fun logFile(node: Int) = dir.resolve("n$node.log")

    private fun settings(node: Int): String {
        val others = (0 until NODES).filter { it != node }
        val peers = others.joinToString { """{"member":"n$it","domain":"z","addr":"127.0.0.1:${internalPort(it)}"}""" }
        return """
            {"member":"n$node","domain":"z","bind":"127.0.0.1:${port(node)}","internal_addr":"127.0.0.1:${internalPort(node)}",
             "seeds":[$peers],"outside":{"cloud":"127.0.0.1:${platform.port}","state":"127.0.0.1:${storePort(node)}"},
             "cluster":{"initial_size":3,"zones":["z"],"objectives":[{"kind":"wait","class":"c","within_s":1,"share":0.9}],
              "teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}],
              "workers":{"report_s":1,"lease_s":48,"cancel_s":90},"state":{"rps":1000,"write_rps":1000,"value_kb":16,"txn_ops":32},
              "cloud":{"rps":100,"list_lag_s":0.2},"resources":{"cpu":1,"memory_mb":300,"max_sockets":1000},"skew_ms":100}}
        """
    }

    companion object {
        const val NODES = 3
        private const val AWAIT_TIMEOUT_MS = 60_000L
        private const val POLL_MS = 100L
        private const val LOG_TAIL_CHARS = 3000

        /** Those JVM options of the deployed service that also work when it runs from the classes under test. */
        private val JVM_OPTIONS = listOf("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
    }
}
