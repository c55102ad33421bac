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

/** A real server on loopback, at the limit of its connections. */
class HttpEndpointTest {
    private val vertx = Vertx.vertx()
    private val eventLoop = vertx.orCreateContext
    private val max = 40
    private val keepAliveMax = max - max / 20
    private val limit = ConnectionLimit(max)

    /** One permit for each request that the handler has received. */
    private val received = Semaphore(0)

    /** Completed by a test to let the requests for [HELD] be answered. */
    private val release = CompletableDeferred<Unit>()

    private val port = runBlocking(eventLoop.dispatcher()) {
        HttpEndpoint(vertx, CoroutineScope(eventLoop.dispatcher()), maxBodyBytes = 1024, idleS = 60, limit) { _, path, _ ->
            received.release()
            if (path == HELD) release.await()
            HttpReply(if (path == "/elsewhere") 503 else 200, closesConnection = path == "/elsewhere")
        }.listen(Address("127.0.0.1", 0))
    }
    private val sockets = ArrayList<Socket>()

    @AfterEach
    fun close() {
        sockets.forEach { it.close() }
        vertx.close()
    }

    private fun open() = Socket("127.0.0.1", port).also {
        it.soTimeout = PATIENCE_MS
        sockets += it
    }

    private fun Socket.send(path: String) = getOutputStream().write("GET $path HTTP/1.1\r\nHost: x\r\n\r\n".toByteArray())

    /** The answer's head, or null if the server closed the connection without one. Silence is neither, and throws. */
    private fun Socket.receive(): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = readOrEnd()
            if (next < 0) return null
            head.append(next.toChar())
        }
        return head.toString().lowercase()
    }

    /** Sends a request and awaits what [receive] returns. A connection that is closed already may refuse the request. */
    private fun Socket.ask(path: String = "/"): String? {
        try {
            send(path)
        } catch (_: IOException) {
            return null
        }
        return receive()
    }

    /** The next byte, or -1 once the server has closed or reset the connection. */
    private fun Socket.readOrEnd() = try {
        getInputStream().read()
    } catch (e: SocketTimeoutException) {
        throw AssertionError("neither an answer nor the connection's end", e)
    } catch (_: IOException) {
        -1
    }

    private fun assertKept(answer: String?) =
        assertTrue(answer != null && answer.startsWith("http/1.1 200") && "connection: close" !in answer) { "kept: $answer" }

    private fun Socket.assertEndsAfter(answer: String?) {
        assertTrue(answer != null && answer.startsWith("http/1.1 200") && "connection: close" in answer) { "ended: $answer" }
        assertEquals(-1, readOrEnd())
    }

    /** What the server counts, read on its event loop. */
    private fun openNow(): Int {
        val count = CompletableFuture<Int>()
        eventLoop.runOnContext { count.complete(limit.open) }
        return count.get(PATIENCE_MS.toLong(), TimeUnit.MILLISECONDS)
    }

    /** A client sees the end of its connection before the server counts it out, and connects before the server counts it. */
    private fun awaitOpen(expected: Int) {
        val endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS.toLong())
        while (openNow() != expected) assertTrue(System.nanoTime() < endNs) { "${openNow()} are open, not $expected" }
    }

    private fun awaitReceived(requests: Int) =
        assertTrue(received.tryAcquire(requests, PATIENCE_MS.toLong(), TimeUnit.MILLISECONDS)) { "not all requests arrived" }

    /** As many connections as the endpoint keeps open: their answers show that all are admitted and none is closed. */
    private fun openKept(): List<Socket> {
        val kept = List(keepAliveMax) { open() }
        awaitOpen(keepAliveMax)
        kept.forEach { assertKept(it.ask()) }
        awaitReceived(keepAliveMax)
        return kept
    }

    /**
     * The bound is on connections that are open at once: however many come one after the other, each is served, since the
     * answer to the one before has made room.
     */
    @Test
    fun `past its share each answer closes its connection, and makes room for the next`() {
        val kept = openKept()
        repeat(max) {
            val late = open()
            late.assertEndsAfter(late.ask())
            awaitOpen(keepAliveMax)
        }
        kept.forEach { assertKept(it.ask()) }
        // At the maximum, the answer to a connection that was kept until now closes it too.
        repeat(max - keepAliveMax) { open() }
        awaitOpen(max)
        kept.first().assertEndsAfter(kept.first().ask())
    }

    /**
     * Without a limit, the kept connections of a whole fleet use up the sockets, and the node can't reach the key-value store.
     * Unanswered requests hold the last places, so that none becomes free while others try to get in.
     */
    @Test
    fun `past the maximum a connection is closed without an answer, until another has ended`() {
        val kept = openKept()
        val held = List(max - keepAliveMax) { open().also { it.send(HELD) } }
        awaitReceived(held.size)
        assertEquals(max, openNow())

        val refused = List(REFUSED) { open() }
        refused.forEach { assertNull(it.ask()) }
        awaitOpen(max)
        assertEquals(0, received.availablePermits()) { "requests of refused connections were handled" }

        release.complete(Unit)
        held.forEach { it.assertEndsAfter(it.receive()) }
        awaitOpen(keepAliveMax)
        kept.forEach { assertKept(it.ask()) }
        val next = open()
        next.assertEndsAfter(next.ask())
    }

    /** A load balancer never moves an open connection: a user whose connection stays open stays with a node that can't serve. */
    @Test
    fun `a node that can't serve closes the user's connection with its answer`() {
        val socket = open()
        assertTrue("connection: close" !in socket.ask("/")!!)
        val answer = socket.ask("/elsewhere")!!
        assertEquals(true, answer.startsWith("http/1.1 503") && "connection: close" in answer)
        assertEquals(-1, socket.readOrEnd())
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
        awaitOpen(0)
        assertTrue(open().ask() != null)
    }

    private companion object {
        const val SEED = 23
        const val ENDED = 2000

        /** How many connections try to get in at once while there is no place. */
        const val REFUSED = 20

        /** The path of requests whose answers wait for [release]. */
        const val HELD = "/held"

        /** Until a test fails; no passing run depends on it. */
        const val PATIENCE_MS = 10_000
    }
}
