package cleathitch.loopback

import cleathitch.protocol.MessageCodec
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import java.io.IOException
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration

private val client: HttpClient = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build()

/** A node's answer. */
class Reply(val status: Int, val body: JsonNode?) {
    val state: String? get() = body?.get("estado")?.textValue()
}

/** The answer of the server at [port], or null if there is none within the time that workers wait. */
fun ask(port: Int, method: String, path: String, body: JsonNode? = null): Reply? =
    askRaw(port, method, path, body)?.let { (status, bytes) ->
        Reply(status, bytes.takeIf { it.isNotEmpty() }?.let(MessageCodec::decodeMap))
    }

/** The text at [path], or null if there is none. */
fun askText(port: Int, path: String): String? = askRaw(port, "GET", path, null)?.second?.decodeToString()

private fun askRaw(port: Int, method: String, path: String, body: JsonNode?): Pair<Int, ByteArray>? = try {
    val publisher = if (body ==
        null
    ) {
        HttpRequest.BodyPublishers.noBody()
    } else {
        HttpRequest.BodyPublishers.ofByteArray(MessageCodec.encode(body))
    }
    val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).timeout(Duration.ofSeconds(4)).method(method, publisher)
    val answer = client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray())
    answer.statusCode() to answer.body()
} catch (_: IOException) {
    null
}

/** One machine's worker, whose tasks take [taskMs] each. */
class StandInWorker(private val nodes: List<Pair<String, Int>>, private val address: String, private val taskMs: Long = 300) {
    private val tasks = LinkedHashMap<Pair<String, Long>, Long>()
    private var version = 0L
    private var seq = 0L
    private var node = 0

    @Volatile
    var on = true
    val runs = HashMap<String, Int>()

    /** Reports until it is switched off. */
    fun live() {
        while (on) {
            val answer = ask(nodes[node].second, "POST", "/agent/beat", report())
            when (answer?.status) {
                200 -> if (answer.body!!.get("vara").longValue() >= version) obey(answer.body)
                421 ->
                    node =
                        nodes.indexOfFirst { it.first == answer.body?.get("capataz")?.textValue() }.takeIf { it >= 0 }
                            ?: ((node + 1) % nodes.size)
                else -> node = (node + 1) % nodes.size
            }
            Thread.sleep(200)
        }
    }

    private fun report(): ObjectNode {
        val map = MessageCodec.newMap().put(
            "burro",
            "vm-000001",
        ).put("addr", address).put("hornada", "m").put("comarca", "z").put("prestados", false)
            .put("jornada", 1).put("folio", ++seq).put("vara", version)
        val list = map.putArray("tareas")
        for ((id, endMs) in tasks) {
            val task = list.addObject().put("tarea", id.first).put("intento", id.second)
            if (System.nanoTime() / 1_000_000 < endMs) task.put("estado", "running") else task.put("estado", "exited").put("motivo", "done")
        }
        return map
    }

    private fun obey(answer: JsonNode) {
        version = answer.get("vara").longValue()
        for (order in answer.get("ordenes")) {
            val id = order.get("tarea").textValue() to order.get("intento").longValue()
            when (order.get("orden").textValue()) {
                "run" -> if (id !in tasks) {
                    tasks[id] = System.nanoTime() / 1_000_000 + taskMs
                    runs.merge(id.first, 1, Int::plus)
                }
                "clear" -> tasks.remove(id)
                else -> tasks.replace(id, 0L)
            }
        }
    }
}

/** Three controllers as real processes on loopback; [statePort] is where node 0, 1 or 2 finds the state service. */
class LoopbackCluster(private val dir: Path, private val platform: SimulatedPlatform, private val statePort: (node: Int) -> Int) :
    AutoCloseable {
    private val ports = List(2 * NODES) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }
    private val processes = arrayOfNulls<Process>(NODES)

    /** Each node's name and the port for users and workers. */
    val addresses get() = (0 until NODES).map { "n$it" to ports[it] }

    fun port(node: Int) = ports[node]

    fun internalPort(node: Int) = ports[NODES + node]

    private fun settings(node: Int): String {
        val others = (0 until NODES).filter { it != node }
        val seeds = others.joinToString { """{"member":"n$it","domain":"z","addr":"127.0.0.1:${internalPort(it)}"}""" }
        return """
            {"member":"n$node","domain":"z","bind":"127.0.0.1:${port(node)}","internal_addr":"127.0.0.1:${internalPort(node)}",
             "seeds":[$seeds],"outside":{"cloud":"127.0.0.1:${platform.port}","state":"127.0.0.1:${statePort(node)}"},
             "cluster":{"initial_size":3,"zones":["z"],"objectives":[{"kind":"wait","class":"c","within_s":1,"share":0.9}],
              "teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}],
              "workers":{"report_s":1,"lease_s":48,"cancel_s":90},"state":{"rps":1000,"write_rps":1000,"value_kb":16,"txn_ops":32},
              "cloud":{"rps":100,"list_lag_s":0.2},"resources":{"cpu":1,"memory_mb":300,"max_sockets":1000},"skew_ms":100}}
        """
    }

    fun start(node: Int) {
        val file = dir.resolve("n$node.json")
        Files.writeString(file, settings(node))
        val classes = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        processes[node] =
            ProcessBuilder(java, "-Xmx128m", "-XX:+UseSerialGC", "-cp", classes, "cleathitch.cli.MainKt", "serve", "--config", "$file")
                .redirectErrorStream(true).redirectOutput(dir.resolve("n$node.log").toFile()).start()
    }

    fun startAll() {
        (0 until NODES).forEach(::start)
        for (node in 0 until NODES) until("n$node ready") { ask(port(node), "GET", "/ready")?.takeIf { it.status == 200 } }
    }

    fun kill(node: Int) {
        processes[node]?.destroyForcibly()?.waitFor()
    }

    /** What [poll] yields within [patienceMs], by default far more than it takes: the verdict mustn't hang on the machine's speed. */
    fun <T : Any> until(what: String, patienceMs: Long = PATIENCE_MS, poll: () -> T?): T {
        val endMs = System.nanoTime() / 1_000_000 + patienceMs
        while (System.nanoTime() / 1_000_000 < endMs) {
            poll()?.let { return it }
            Thread.sleep(100)
        }
        throw AssertionError("$what: not within $patienceMs ms\n" + logs())
    }

    /** The end of each node's log. */
    fun logs() = (0 until NODES).joinToString("\n") { node ->
        val file = dir.resolve("n$node.log")
        if (Files.exists(file)) Files.readString(file).takeLast(3000) else "n$node: no log"
    }

    fun job(id: String, tasks: Int = 3): ObjectNode =
        MessageCodec.newMap().put("nameId", id).put("cuadrilla", "c").put("ownerCrew", "t").put("oficio", "array")
            .put("urgencia", "normal").put("tareas", tasks).put("vcpus", 1.0).put("gpus", 0.0).put("memoryGb", 1.0)
            .put("imagen", "i").put("pullGb", 1.0).put("oneZone", false).put("scatter", false).put("prestados", false)
            .put("aproxS", 1.0).put("hitoS", 0.0).put("guardadoS", 0.0)

    fun submit(node: Int, id: String) = until("submission of $id") {
        ask(port(node), "POST", "/submissions", job(id))?.takeIf { it.status == 201 || it.status == 200 }
    }

    fun doneAt(node: Int, id: String) = until("$id done at n$node") {
        ask(port(node), "GET", "/submissions/$id")?.takeIf { it.status == 200 && it.state == "done" }
    }

    override fun close() = (0 until NODES).forEach(::kill)

    companion object {
        const val NODES = 3
        private const val PATIENCE_MS = 60_000L
    }
}
