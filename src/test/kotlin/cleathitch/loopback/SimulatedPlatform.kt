package cleathitch.loopback

import cleathitch.protocol.MessageCodec
import com.fasterxml.jackson.databind.node.ObjectNode
import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetSocketAddress
import java.net.URLDecoder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

/**
 * An HTTP server on 127.0.0.1 for the key-value store and the cloud provider. It serves those parts of their APIs that a small
 * deployment uses. The cloud provider lists the machines added by [addMachine] and rejects every rental.
 */
class SimulatedPlatform : AutoCloseable {
    /** The key-value store, which holds the leader key and the log. */
    val store = SimulatedKeyValueStore()
    private val machineAddresses = ConcurrentHashMap<String, String>()
    private val threads = Executors.newCachedThreadPool { task -> Thread(task).also { it.isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), BACKLOG).also {
        it.executor = threads
        it.createContext("/", ::serve)
        it.start()
    }
    val port: Int get() = server.address.port

    /** The member that holds the leader key, or null if there is none. */
    fun leader(): String? = store.valueOrNull("leader/cleathitch")?.get("member")?.textValue()

    /** Adds a running machine to the cloud provider's list. Its worker receives commands at [address]. */
    fun addMachine(machine: String, address: String) {
        machineAddresses[machine] = address
    }

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    private fun serve(exchange: HttpExchange) = exchange.use {
        val path = it.requestURI.path
        val query = it.requestURI.rawQuery.orEmpty().split('&').filter { part -> '=' in part }
            .associate { part -> part.substringBefore('=') to URLDecoder.decode(part.substringAfter('='), Charsets.UTF_8) }
        val bytes = it.requestBody.readAllBytes()
        if (path == "/follow") Thread.sleep(WATCH_TIMEOUT_MS)
        val request = if (bytes.isEmpty()) null else MessageCodec.decodeMap(bytes)
        val reply = store.handleOrNull(it.requestMethod, path, query, request) ?: handleCloud(it.requestMethod, path)
        val body = MessageCodec.encode(reply.body)
        it.sendResponseHeaders(reply.status, body.size.toLong())
        it.responseBody.write(body)
    }

    private fun handleCloud(method: String, path: String): SimulatedReply {
        val body = MessageCodec.newMap()
        return when {
            path == "/flavors" -> SimulatedReply(200, body.also(::putMachineTypes))
            path == "/hosts" && method == "GET" -> SimulatedReply(200, body.put("truncated", false).also(::putMachines))
            path == "/hosts" -> SimulatedReply(503, body.put("error", "no capacity"))
            else -> SimulatedReply(200, body)
        }
    }

    private fun putMachineTypes(body: ObjectNode) {
        body.putArray("hornadas").addObject().put("label", "m").put("vcpus", 4).put("gpus", 0).put("memoryGb", 16)
            .put("localGb", 10).put("fetchGbPerS", 1).put("rate", 1).put("spotPrice", 0.5).put("bootS", 1000)
            .putArray("comarcas").add("z")
    }

    private fun putMachines(body: ObjectNode) {
        val machines = body.putArray("burros")
        for ((machine, address) in machineAddresses.toSortedMap()) {
            machines.addObject().put("nameId", machine).put("addr", address).put("hornada", "m").put("comarca", "z")
                .put("prestados", false).put("estado", "running").put("heldS", 100.0)
        }
    }

    private companion object {
        const val BACKLOG = 50

        /** After this time every watch gets a response without changes. */
        const val WATCH_TIMEOUT_MS = 100L
    }
}
