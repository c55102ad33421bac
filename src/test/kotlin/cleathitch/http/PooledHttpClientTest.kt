package cleathitch.http

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Calls time out or are cancelled at different stages; in each case their connections must return to the pool. */
class PooledHttpClientTest {
    private val server = StubServer()
    private val vertx = Vertx.vertx()
    private val scope = CoroutineScope(vertx.dispatcher() + SupervisorJob())
    private val meterRegistry = SimpleMeterRegistry()
    private val client = PooledHttpClient(vertx, "test", maxConnections = CONNECTIONS, meterRegistry, connectTimeoutMs = 5000)

    @AfterEach
    fun close() {
        vertx.close()
        server.close()
    }

    private fun call(path: String, timeoutMs: Long, to: Address = server.address) = scope.async {
        client.call(to, HttpMethod.GET, path, null, timeoutMs)
    }

    private fun gauge(name: String) = meterRegistry.get(name).tag("client", "test").gauge().value().toInt()

    private suspend fun awaitCondition(description: String, condition: () -> Boolean) {
        repeat(TIMEOUT_MS / 10) {
            if (condition()) return
            delay(10)
        }
        throw AssertionError(
            "$description: condition not met within $TIMEOUT_MS ms; " +
                "in use ${gauge("http.client.in_use")}, waiting ${gauge("http.client.waiting")}",
        )
    }

    private suspend fun assertAllConnectionsFree() {
        awaitCondition("all connections free") { gauge("http.client.in_use") == 0 && gauge("http.client.waiting") == 0 }
        val calls = List(CONNECTIONS) { call(StubServer.IMMEDIATE, timeoutMs = TIMEOUT_MS.toLong()) }
        calls.forEach { assertTrue(it.await() is CallResult.Answered) }
    }

    private suspend fun holdAllConnections() {
        repeat(CONNECTIONS) { call(StubServer.HELD, timeoutMs = TIMEOUT_MS.toLong()) }
        awaitCondition("all connections in use") { server.heldRequests == CONNECTIONS }
    }

    @Test
    fun `a connection that becomes free after the call waiting for it timed out returns to the pool`(): Unit = runBlocking {
        holdAllConnections()
        val timedOut = List(CONNECTIONS) { call(StubServer.IMMEDIATE, timeoutMs = 50) }
        timedOut.forEach { assertEquals(CallResult.Failed(CallFailure.NO_CONNECTION_IN_TIME), it.await()) }
        server.release()
        assertAllConnectionsFree()
    }

    /** All calls of a term are cancelled when the term ends. */
    @Test
    fun `a connection that becomes free after the call waiting for it was cancelled returns to the pool`(): Unit = runBlocking {
        holdAllConnections()
        val cancelled = List(CONNECTIONS) { call(StubServer.IMMEDIATE, timeoutMs = TIMEOUT_MS.toLong()) }
        awaitCondition("all calls wait") { gauge("http.client.waiting") == CONNECTIONS }
        cancelled.forEach { it.cancel() }
        server.release()
        assertAllConnectionsFree()
    }

    /** Occurs if a network partition drops packets: the connection opens only when TCP retransmits the SYN, one second later. */
    @Test
    fun `a connection that opens after its call timed out returns to the pool`(): Unit = runBlocking {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
            // Once the listener's accept queue is full, the kernel drops further SYN packets.
            val queued = List(2) { Socket(listener.inetAddress, listener.localPort) }
            val to = Address("127.0.0.1", listener.localPort)
            val timedOut = List(CONNECTIONS) { call("/", timeoutMs = 100, to) }
            timedOut.forEach { assertEquals(CallResult.Failed(CallFailure.NO_CONNECTION_IN_TIME), it.await()) }
            thread(isDaemon = true) { generateSequence { runCatching { listener.accept() }.getOrNull() }.forEach(::respondOnce) }
            awaitCondition("no connection is being opened") { gauge("http.client.waiting") == 0 }
            val after = List(CONNECTIONS) { call("/", timeoutMs = TIMEOUT_MS.toLong(), to) }
            after.forEach { assertTrue(it.await() is CallResult.Answered) }
            awaitCondition("all connections free") { gauge("http.client.in_use") == 0 }
            queued.forEach { it.close() }
        }
    }

    private fun respondOnce(socket: Socket) = thread(isDaemon = true) {
        socket.use {
            val reader = it.getInputStream().bufferedReader()
            while ((reader.readLine() ?: return@thread).isNotEmpty()) Unit
            it.getOutputStream().write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".toByteArray())
        }
    }

    private companion object {
        const val CONNECTIONS = 4
        const val TIMEOUT_MS = 10_000
    }
}
