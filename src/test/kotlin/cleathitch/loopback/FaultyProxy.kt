package cleathitch.loopback

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * A TCP proxy on 127.0.0.1 between one controller and a service. A test sets [fault] to inject a network fault. [close] closes
 * the sockets and ends the threads.
 */
class FaultyProxy(private val targetPort: Int, seed: Int) : AutoCloseable {
    private val random = Random(seed)
    private val listener = ServerSocket(0, 4, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    var fault = NetworkFault.NONE

    @Volatile
    private var isOpen = true

    /** The port that the controller connects to. */
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { acceptConnections() }
    }

    private fun acceptConnections() {
        while (isOpen) {
            blockWhile { fault == NetworkFault.STALL_ALL }
            val client = try {
                listener.accept()
            } catch (_: IOException) {
                return
            }
            thread(isDaemon = true) { relay(client) }
        }
    }

    private fun relay(client: Socket) {
        val service = try {
            Socket(InetAddress.getLoopbackAddress(), targetPort)
        } catch (_: IOException) {
            return client.close()
        }
        sockets += listOf(client, service)
        thread(isDaemon = true) { copy(client, service, isRequest = true) }
        copy(service, client, isRequest = false)
    }

    private fun copy(from: Socket, to: Socket, isRequest: Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            do {
                val count = from.getInputStream().read(buffer)
            } while (count >= 0 && forward(buffer, count, from, to.getOutputStream(), isRequest))
        } catch (_: IOException) {
            // The thread of the other direction, or close(), has closed the sockets.
        }
        closeQuietly(from)
        closeQuietly(to)
    }

    /** Forwards [count] bytes subject to the current fault. Returns false if the connection must be closed. */
    private fun forward(buffer: ByteArray, count: Int, from: Socket, to: OutputStream, isRequest: Boolean): Boolean {
        blockWhile { fault == NetworkFault.STALL_ALL || fault == NetworkFault.STALL_DATA }
        when (fault) {
            NetworkFault.RESET -> {
                from.setSoLinger(true, 0)
                return false
            }
            NetworkFault.SERVICE_UNAVAILABLE -> if (isRequest) {
                from.getOutputStream().write(UNAVAILABLE_RESPONSE)
                return drain(from.getInputStream())
            }
            NetworkFault.SLOW -> Thread.sleep(synchronized(random) { random.nextLong(MAX_DELAY_MS) })
            NetworkFault.NONE, NetworkFault.STALL_ALL, NetworkFault.STALL_DATA -> Unit
        }
        to.write(buffer, 0, count)
        return true
    }

    /**
     * Waits until the client has had time to read the response, then discards the rest of its request. Returns false, because the
     * connection must be closed.
     */
    private fun drain(input: InputStream): Boolean {
        Thread.sleep(RESPONSE_READ_MS)
        input.skip(input.available().toLong())
        return false
    }

    private fun blockWhile(condition: () -> Boolean) {
        while (isOpen && condition()) Thread.sleep(POLL_MS)
    }

    private fun closeQuietly(socket: Socket) {
        sockets -= socket
        runCatching { socket.close() }
    }

    override fun close() {
        isOpen = false
        listener.close()
        sockets.forEach(::closeQuietly)
    }

    private companion object {
        const val BUFFER_BYTES = 65_536
        const val POLL_MS = 5L
        const val MAX_DELAY_MS = 1000L
        const val RESPONSE_READ_MS = 20L
        val UNAVAILABLE_RESPONSE = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".toByteArray()
    }
}
