package cleathitch.http

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.random.Random

/** A real server on loopback, at the limit of its connections. */
class HttpEndpointTest {
    private val vertx = Vertx.vertx()
    private val max = 40
    private val limit = ConnectionLimit(max)
    private val port = runBlocking {
        HttpEndpoint(vertx, CoroutineScope(vertx.dispatcher()), maxBodyBytes = 1024, idleS = 60, limit) { _, path, _ ->
            HttpReply(if (path == "/") 200 else 503, closesConnection = path == "/elsewhere")
        }.listen(Address("127.0.0.1", 0))
    }
    private val sockets = ArrayList<Socket>()

    @AfterEach
    fun close() {
        sockets.forEach { it.close() }
        vertx.close()
    }

    private fun open() = Socket("127.0.0.1", port).also {
        it.soTimeout = 5000
        sockets += it
    }

    /** The answer's head, or null if the server closed the connection without one. */
    private fun Socket.ask(path: String = "/"): String? {
        val head = StringBuilder()
        try {
            getOutputStream().write("GET $path HTTP/1.1\r\nHost: x\r\n\r\n".toByteArray())
            while (!head.endsWith("\r\n\r\n")) {
                val next = getInputStream().read()
                if (next < 0) return null
                head.append(next.toChar())
            }
        } catch (_: IOException) {
            return null
        }
        return head.toString().lowercase()
    }

    private fun Socket.ended() = try {
        getInputStream().read() < 0
    } catch (_: SocketTimeoutException) {
        false
    } catch (_: IOException) {
        true
    }

    /** Without a limit, the kept connections of a whole fleet use up the sockets, and the node can't reach the key-value store. */
    @Test
    fun `past its share each answer closes its connection, and past the maximum none is accepted`() {
        val kept = List(max - max / 20) { open() }
        kept.forEach { assertTrue("connection: close" !in it.ask()!!) }
        val late = List(max - kept.size) { open() }
        // The late ones are accepted, but none after them.
        late.last().ask().let { assertTrue("connection: close" in it!!) }
        assertTrue(late.last().ended())
        val next = List(20) { open() }.count { it.ask() != null }
        assertTrue(next <= max - kept.size) { "$next more were served" }
        assertTrue(limit.open <= max + 20)
    }

    /** A load balancer never moves an open connection: a user whose connection stays open stays with a node that can't serve. */
    @Test
    fun `a node that can't serve closes the user's connection with its answer`() {
        val socket = open()
        assertTrue("connection: close" !in socket.ask("/")!!)
        val answer = socket.ask("/elsewhere")!!
        assertEquals(true, answer.startsWith("http/1.1 503") && "connection: close" in answer)
        assertTrue(socket.ended())
    }

    /** Connections that are reset before, in and after a request are all counted out, so that the limit isn't used up. */
    @Test
    fun `however connections end, none stays counted`() {
        val random = Random(SEED)
        repeat(ENDED) {
            val socket = open()
            val request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
            runCatching {
                socket.getOutputStream().write(request.take(random.nextInt(request.length + 1)).toByteArray())
                if (random.nextBoolean()) socket.setSoLinger(true, 0)
                if (random.nextBoolean()) Thread.sleep(1)
            }
            socket.close()
        }
        val endMs = System.currentTimeMillis() + PATIENCE_MS
        while (limit.open > 0 && System.currentTimeMillis() < endMs) Thread.sleep(10)
        assertEquals(0, limit.open)
        assertTrue(open().ask() != null)
    }

    private companion object {
        const val SEED = 23
        const val ENDED = 2000
        const val PATIENCE_MS = 10_000L
    }
}
