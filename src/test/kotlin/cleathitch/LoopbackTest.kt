package cleathitch

import cleathitch.protocol.Wire
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.IOException
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import kotlin.concurrent.thread

private val client: HttpClient = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build()

private class Reply(val status: Int, val body: JsonNode?)

/** Null is no answer. */
private fun ask(port: Int, method: String, path: String, body: JsonNode? = null): Reply? = try {
    val publisher = if (body == null) HttpRequest.BodyPublishers.noBody() else HttpRequest.BodyPublishers.ofByteArray(Wire.encode(body))
    val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).timeout(Duration.ofSeconds(4)).method(method, publisher)
    val answer = client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray())
    Reply(answer.statusCode(), answer.body().takeIf { it.isNotEmpty() }?.let(Wire::decodeMap))
} catch (_: IOException) {
    null
}

/** One machine's worker, whose tasks take a moment. */
private class StandInWorker(private val nodes: List<Pair<String, Int>>, private val addr: String) {
    private val tasks = LinkedHashMap<Pair<String, Long>, Long>()
    private var version = 0L
    private var seq = 0L
    private var node = 0

    @Volatile
    var on = true
    val runs = HashMap<String, Int>()

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
        val map = Wire.newMap().put("burro", "vm-000001").put("addr", addr).put("hornada", "m").put("comarca", "z").put("prestados", false)
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
                    tasks[id] = System.nanoTime() / 1_000_000 + 300
                    runs.merge(id.first, 1, Int::plus)
                }
                "clear" -> tasks.remove(id)
                else -> tasks.replace(id, 0L)
            }
        }
    }
}

/** Three real processes on loopback, against HTTP stand-ins. */
class LoopbackTest {
    @TempDir
    lateinit var dir: Path
    private val platform = Platform()
    private val ports = List(6) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }
    private val processes = arrayOfNulls<Process>(3)

    @AfterEach
    fun stop() {
        processes.forEach { it?.destroyForcibly()?.waitFor() }
        platform.stop()
    }

    private fun settings(node: Int): String {
        val seeds = (0..2).filter { it != node }.joinToString { """{"member":"n$it","domain":"z","addr":"127.0.0.1:${ports[3 + it]}"}""" }
        return """
            {"member":"n$node","domain":"z","bind":"127.0.0.1:${ports[node]}","internal_addr":"127.0.0.1:${ports[3 + node]}","seeds":[$seeds],
             "outside":{"cloud":"127.0.0.1:${platform.port}","state":"127.0.0.1:${platform.port}"},
             "cluster":{"initial_size":3,"zones":["z"],"objectives":[{"kind":"wait","class":"c","within_s":1,"share":0.9}],
              "teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}],
              "workers":{"report_s":1,"lease_s":48,"cancel_s":90},"state":{"rps":1000,"write_rps":1000,"value_kb":16,"txn_ops":32},
              "cloud":{"rps":100,"list_lag_s":0.2},"resources":{"cpu":1,"memory_mb":300,"max_sockets":1000},"skew_ms":100}}
        """
    }

    private fun start(node: Int) {
        val file = dir.resolve("n$node.json")
        Files.writeString(file, settings(node))
        val classes = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        processes[node] =
            ProcessBuilder(java, "-Xmx128m", "-XX:+UseSerialGC", "-cp", classes, "cleathitch.cli.MainKt", "serve", "--config", "$file")
                .redirectErrorStream(true).redirectOutput(dir.resolve("n$node.log").toFile()).start()
    }

    private fun <T : Any> until(what: String, poll: () -> T?): T {
        val endMs = System.nanoTime() / 1_000_000 + PATIENCE_MS
        while (System.nanoTime() / 1_000_000 < endMs) {
            poll()?.let { return it }
            Thread.sleep(100)
        }
        throw AssertionError(
            "$what: not within $PATIENCE_MS ms\n" + (0..2).joinToString("\n") { Files.readString(dir.resolve("n$it.log")).takeLast(2000) },
        )
    }

    private fun job(id: String): ObjectNode =
        Wire.newMap().put("nameId", id).put("cuadrilla", "c").put("ownerCrew", "t").put("oficio", "array")
            .put(
                "urgencia",
                "normal",
            ).put("tareas", 3).put("vcpus", 1.0).put("gpus", 0.0).put("memoryGb", 1.0).put("imagen", "i").put("pullGb", 1.0)
            .put("oneZone", false).put("scatter", false).put("prestados", false).put("aproxS", 1.0).put("hitoS", 0.0).put("guardadoS", 0.0)

    private fun submit(node: Int, id: String) = until("submission of $id") {
        ask(ports[node], "POST", "/submissions", job(id))?.takeIf { it.status == 201 || it.status == 200 }
    }

    private fun doneAt(node: Int, id: String) = until("$id done at n$node") {
        ask(ports[node], "GET", "/submissions/$id")?.takeIf { it.status == 200 && it.body!!.get("estado").textValue() == "done" }
    }

    /** The process that led is back at once, under its predecessor's lease and in the middle of the election. */
    @Test
    fun `what was accepted runs once and stays known when the leader is killed and back at once`() {
        val direct = ServerSocket(0).also { it.close() }.localPort
        platform.workerAddr = "127.0.0.1:$direct"
        val worker = StandInWorker((0..2).map { "n$it" to ports[it] }, platform.workerAddr)
        (0..2).forEach(::start)
        for (node in 0..2) until("n$node ready") { ask(ports[node], "GET", "/ready")?.takeIf { it.status == 200 } }
        val reporting = thread(isDaemon = true) { worker.live() }
        submit(0, "j-000001")
        doneAt(1, "j-000001")
        assertEquals(404, until("answer") { ask(ports[2], "GET", "/submissions/j-000099") }.status)
        submit(2, "j-000002")
        val killed = platform.leader()!!.removePrefix("n").toInt()
        processes[killed]!!.destroyForcibly().waitFor()
        start(killed)
        submit((killed + 1) % 3, "j-000003")
        for (node in 0..2) for (id in listOf("j-000001", "j-000002", "j-000003")) doneAt(node, id)
        assertEquals(200, submit(killed, "j-000001").status)
        worker.on = false
        reporting.join()
        assertEquals(9, worker.runs.size)
        assertTrue(worker.runs.values.all { it == 1 }) { "${worker.runs}" }
    }

    private companion object {
        /** Far more than it takes: the verdict mustn't hang on the machine's speed. */
        const val PATIENCE_MS = 60_000L
    }
}
