package cleathitch.http

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Tests the connection limit of a server on loopback, with plain sockets as clients. */
class HttpEndpointTest {
    private val vertx = Vertx.vertx()
    private val eventLoop = vertx.orCreateContext
    private val max = 40
    private val maxKeptAlive = max - max / 20
    private val limit = ConnectionLimit(max)

    /** One permit for each request that the handler has received. */
    private val received = Semaphore(0)

    /** Completed by a test to send the responses to the requests for [HELD_PATH]. */
    private val release = CompletableDeferred<Unit>()

    private val port = runBlocking(eventLoop.dispatcher()) {
        HttpEndpoint(vertx, CoroutineScope(eventLoop.dispatcher()), maxBodyBytes = 1024, idleTimeoutS = 60, limit) { _, path, _ ->
            received.release()
            if (path == HELD_PATH) release.await()
            HttpResponse(if (path == "/elsewhere") 503 else 200, closesConnection = path == "/elsewhere")
        }.listen(Address("127.0.0.1", 0))
    }
    private val sockets = ArrayList<Socket>()

    @AfterEach
    fun close() {
        sockets.forEach { it.close() }
        vertx.close()
    }

    private fun open() = Socket("127.0.0.1", port).also {
        it.soTimeout = TIMEOUT_MS
        sockets += it
    }

    private fun Socket.send(path: String) = getOutputStream().write("GET $path HTTP/1.1\r\nHost: x\r\n\r\n".toByteArray())

    /** Returns the response's head, or null if the server closed the connection without one; throws if neither occurs in time. */
    private fun Socket.receive(): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = readOrEnd()
            if (next < 0) return null
            head.append(next.toChar())
        }
        return head.toString().lowercase()
    }

    /** Sends a request and returns the result of [receive]. Sending may fail if the server has already closed the connection. */
    private fun Socket.request(path: String = "/"): String? {
        try {
            send(path)
        } catch (_: IOException) {
            return null
        }
        return receive()
    }

    /** Reads the next byte; returns -1 if the server has closed or reset the connection. */
    private fun Socket.readOrEnd() = try {
        getInputStream().read()
    } catch (e: SocketTimeoutException) {
        throw AssertionError("neither a response nor the end of the connection within $TIMEOUT_MS ms", e)
    } catch (_: IOException) {
        -1
    }

    private fun assertKeptOpen(response: String?) =
        assertTrue(response != null && response.startsWith("http/1.1 200") && "connection: close" !in response) {
            "expected keep-alive: $response"
        }

    private fun Socket.assertClosedAfter(response: String?) {
        assertTrue(response != null && response.startsWith("http/1.1 200") && "connection: close" in response) {
            "expected close: $response"
        }
        assertEquals(-1, readOrEnd())
    }

    /** Reads the server's connection count on its event loop. */
    private fun openConnections(): Int {
        val count = CompletableFuture<Int>()
        eventLoop.runOnContext { count.complete(limit.openConnections) }
        return count.get(TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)
    }

    /** Waits for the count, because the server counts a connection's start and end later than the client notices them. */
    private fun awaitOpenConnections(expected: Int) {
        val deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS.toLong())
        while (openConnections() != expected) {
            assertTrue(System.nanoTime() < deadlineNs) { "${openConnections()} connections are open, not $expected" }
        }
    }

    private fun awaitReceived(requests: Int) =
        assertTrue(received.tryAcquire(requests, TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)) { "fewer than $requests requests arrived" }

    /** Opens as many connections as the endpoint keeps alive; the responses show that all are accepted and none is closed. */
    private fun openKeptAlive(): List<Socket> {
        val kept = List(maxKeptAlive) { open() }
        awaitOpenConnections(maxKeptAlive)
        kept.forEach { assertKeptOpen(it.request()) }
        awaitReceived(maxKeptAlive)
        return kept
    }

    /**
     * The limit applies only to connections that are open at the same time. Above the keep-alive limit, any number of clients can
     * be served one after the other, because each response closes its connection.
     */
    @Test
    fun `above the keep-alive limit each response closes its connection, so that another can be opened`() {
        val kept = openKeptAlive()
        repeat(max) {
            val extra = open()
            extra.assertClosedAfter(extra.request())
            awaitOpenConnections(maxKeptAlive)
        }
        kept.forEach { assertKeptOpen(it.request()) }
        // At the maximum, a response also closes a connection that has been kept alive so far.
        repeat(max - maxKeptAlive) { open() }
        awaitOpenConnections(max)
        kept.first().assertClosedAfter(kept.first().request())
    }

    /**
     * Without a limit, the idle connections of a whole fleet exhaust the sockets, and the controller can't connect to the key-value
     * store. Here, the connections above the keep-alive limit have pending requests, so that none of them is closed while further
     * clients try to connect.
     */
    @Test
    fun `at the maximum each new connection is closed without a response, until an open connection ends`() {
        val kept = openKeptAlive()
        val held = List(max - maxKeptAlive) { open().also { it.send(HELD_PATH) } }
        awaitReceived(held.size)
        assertEquals(max, openConnections())

        val refused = List(REFUSED_CONNECTIONS) { open() }
        refused.forEach { assertNull(it.request()) }
        awaitOpenConnections(max)
        assertEquals(0, received.availablePermits()) { "requests of refused connections were handled" }

        release.complete(Unit)
        held.forEach { it.assertClosedAfter(it.receive()) }
        awaitOpenConnections(maxKeptAlive)
        kept.forEach { assertKeptOpen(it.request()) }
        val next = open()
        next.assertClosedAfter(next.request())
    }

    /** A load balancer doesn't move open connections, so a user whose connection stays open would stay with this controller. */
    @Test
    fun `a controller that can't serve closes the user's connection after its response`() {
        val socket = open()
        assertTrue("connection: close" !in socket.request("/")!!)
        val response = socket.request("/elsewhere")!!
        assertEquals(true, response.startsWith("http/1.1 503") && "connection: close" in response)
        assertEquals(-1, socket.readOrEnd())
    }

    /**
     * If connections that are closed or reset before, during or after a request stayed in the count, it would eventually reach the
     * limit.
     */
    @Test
    fun `a connection is no longer counted after its end, however it ends`() {
        val random = Random(SEED)
        repeat(ENDED_CONNECTIONS) {
            val socket = open()
            val request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
            runCatching {
                socket.getOutputStream().write(request.take(random.nextInt(request.length + 1)).toByteArray())
                if (random.nextBoolean()) socket.setSoLinger(true, 0)
                if (random.nextBoolean()) Thread.sleep(1)
            }
            socket.close()
        }
        awaitOpenConnections(0)
        assertTrue(open().request() != null)
    }

    private companion object {
        const val SEED = 23
        const val ENDED_CONNECTIONS = 2000

        /** The number of concurrent connections that are opened above the maximum. */
        const val REFUSED_CONNECTIONS = 20

        /** The path of requests whose responses wait for [release]. */
        const val HELD_PATH = "/held"

        /** The time after which a wait fails its test. The duration of a passing run doesn't depend on it. */
        const val TIMEOUT_MS = 10_000
    }
}
