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
 * A TCP proxy on 127.0.0.1 between one node and a service, with faults that a test switches on and off by [fault]. Its threads and
 * sockets end with [close].
 */
class FaultyProxy(private val targetPort: Int, seed: Int) : AutoCloseable {
    private val random = Random(seed)
    private val listener = ServerSocket(0, 4, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    var fault = NetworkFault.NONE

    @Volatile
    private var isOpen = true

    /** Where the node connects to. */
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { acceptConnections() }
    }

    private fun acceptConnections() {
        while (isOpen) {
            blockWhile { fault == NetworkFault.HOLD }
            val near = try {
                listener.accept()
            } catch (_: IOException) {
                return
            }
            thread(isDaemon = true) { connect(near) }
        }
    }

    private fun connect(near: Socket) {
        val far = try {
            Socket(InetAddress.getLoopbackAddress(), targetPort)
        } catch (_: IOException) {
            return near.close()
        }
        sockets += listOf(near, far)
        thread(isDaemon = true) { pump(near, far, isRequest = true) }
        pump(far, near, isRequest = false)
    }

    private fun pump(from: Socket, to: Socket, isRequest: Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            do {
                val count = from.getInputStream().read(buffer)
            } while (count >= 0 && forward(buffer, count, from, to.getOutputStream(), isRequest))
        } catch (_: IOException) {
            // The other side's pump, or the end of the proxy, has closed the sockets.
        }
        close(from)
        close(to)
    }

    /** Passes [count] bytes on, as the fault has it. False if the connection ends with them. */
    private fun forward(buffer: ByteArray, count: Int, from: Socket, to: OutputStream, isRequest: Boolean): Boolean {
        blockWhile { fault == NetworkFault.HOLD || fault == NetworkFault.HOLD_DATA }
        when (fault) {
            NetworkFault.RESET -> {
                from.setSoLinger(true, 0)
                return false
            }
            NetworkFault.REFUSE -> if (isRequest) {
                from.getOutputStream().write(REFUSAL)
                return drainAndClose(from.getInputStream())
            }
            NetworkFault.SLOW -> Thread.sleep(synchronized(random) { random.nextLong(MAX_DELAY_MS) })
            NetworkFault.NONE, NetworkFault.HOLD, NetworkFault.HOLD_DATA -> Unit
        }
        to.write(buffer, 0, count)
        return true
    }

    /** Lets the client read the refusal before the connection ends. */
    private fun drainAndClose(input: InputStream): Boolean {
        Thread.sleep(REFUSAL_READ_MS)
        input.skip(input.available().toLong())
        return false
    }

    private fun blockWhile(condition: () -> Boolean) {
        while (isOpen && condition()) Thread.sleep(POLL_MS)
    }

    private fun close(socket: Socket) {
        sockets -= socket
        runCatching { socket.close() }
    }

    override fun close() {
        isOpen = false
        listener.close()
        sockets.forEach(::close)
    }

    private companion object {
        const val BUFFER_BYTES = 65_536
        const val POLL_MS = 5L
        const val MAX_DELAY_MS = 1000L
        const val REFUSAL_READ_MS = 20L
        val REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".toByteArray()
    }
}
