package cleathitch.loopback

import cleathitch.protocol.MessageCodec
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetSocketAddress
import java.net.URLDecoder
import java.util.TreeMap
import java.util.concurrent.Executors

/** State service and cloud over HTTP, as far as one small deployment needs them. */
class SimulatedPlatform {
    private class Entry(val data: JsonNode, val revision: Long, val lease: Long?)
    private class Held(val ttlMs: Long, var endMs: Long)

    private val keys = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Held>()
    private var revision = 1L
    private var lastLease = 0L
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 50).also {
        it.executor = Executors.newCachedThreadPool { run -> Thread(run).also { thread -> thread.isDaemon = true } }
        it.createContext("/", ::serve)
        it.start()
    }
    val port get() = server.address.port

    @Volatile
    var workerAddr = ""

    /** Leases can't be ended before their time, as when the request for that is lost. */
    @Volatile
    var losesReleases = false

    @Synchronized
    fun leader(): String? = keys["leader/cleathitch"]?.data?.get("member")?.textValue()
    fun stop() = server.stop(0)

    private fun serve(exchange: HttpExchange) = exchange.use {
        val query = it.requestURI.rawQuery.orEmpty().split('&').filter { part -> '=' in part }
            .associate { part -> part.substringBefore('=') to URLDecoder.decode(part.substringAfter('='), Charsets.UTF_8) }
        val bytes = it.requestBody.readAllBytes()
        if (it.requestURI.path == "/follow") Thread.sleep(100)
        val (status, answer) = handle(
            it.requestMethod,
            it.requestURI.path,
            query,
            if (bytes.isEmpty()) null else MessageCodec.decodeMap(bytes),
        )
        val body = MessageCodec.encode(answer)
        it.sendResponseHeaders(status, body.size.toLong())
        it.responseBody.write(body)
    }

    @Synchronized
    private fun handle(method: String, path: String, query: Map<String, String>, body: JsonNode?): Pair<Int, JsonNode> {
        val nowMs = System.nanoTime() / 1_000_000
        if (leases.values.removeIf { it.endMs <= nowMs }) dropUnheld()
        val map = MessageCodec.newMap().put("asiento", revision)
        return when {
            path == "/keys" -> {
                val entries = map.put("truncated", false).putArray("entries")
                keys.tailMap(query["since"] ?: "").filter { (key, _) -> key.startsWith(query.getValue("under")) && key != query["since"] }
                    .forEach { (key, entry) ->
                        entries.addObject().put("k", key).put("retoque", entry.revision).set<ObjectNode>("data", entry.data)
                    }
                200 to map
            }
            path == "/txn" -> transact(body!!, map)
            path == "/holds" -> {
                val ttlMs = body!!.get("ttlMs").longValue()
                leases[++lastLease] = Held(ttlMs, nowMs + ttlMs)
                200 to map.put("arriendo", lastLease)
            }
            path.startsWith("/holds/") -> {
                val id = path.split('/')[2].toLong()
                val held = leases[id]
                if (method == "DELETE") {
                    if (losesReleases) return 503 to map
                    leases.remove(id)
                    dropUnheld()
                }
                held?.endMs = nowMs + held!!.ttlMs
                (if (held == null) 404 else 200) to map
            }
            path == "/follow" -> 200 to map.also { it.putArray("log") }
            path == "/flavors" -> 200 to map.also { types(it) }
            path == "/hosts" && method == "GET" -> 200 to map.put("truncated", false).also {
                it.putArray("burros").addObject().put("nameId", "vm-000001").put("addr", workerAddr).put("hornada", "m").put("comarca", "z")
                    .put("prestados", false).put("estado", "running").put("heldS", 100.0)
            }
            path == "/hosts" -> 503 to map.put("error", "no capacity")
            else -> 200 to map
        }
    }

    private fun types(map: ObjectNode) = map.putArray("hornadas").addObject().put("label", "m").put("vcpus", 4).put("gpus", 0)
        .put("memoryGb", 16).put("localGb", 10).put("fetchGbPerS", 1).put("rate", 1).put("spotPrice", 0.5).put("bootS", 1000)
        .putArray("comarcas").add("z")

    private fun dropUnheld() {
        if (keys.values.removeIf { it.lease != null && it.lease !in leases }) revision++
    }

    private fun transact(body: JsonNode, map: ObjectNode): Pair<Int, JsonNode> {
        val failed = body.get("guards").filter { (keys[it.get("k").textValue()]?.revision ?: 0) != it.get("retoque").longValue() }
        if (failed.isNotEmpty()) {
            return 409 to
                map.also { answer -> answer.putArray("failed").also { list -> failed.forEach { list.add(it.get("k")) } } }
        }
        if (body.get("apply").any { it.has("arriendo") && it.get("arriendo").longValue() !in leases }) {
            return 400 to
                map.put("error", "no such lease")
        }
        revision++
        for (change in body.get("apply")) {
            change.get("delete")?.let { keys.remove(it.textValue()) }
            change.get("put")?.let { keys[it.textValue()] = Entry(change.get("data"), revision, change.get("arriendo")?.longValue()) }
        }
        return 200 to map.put("asiento", revision)
    }
}
