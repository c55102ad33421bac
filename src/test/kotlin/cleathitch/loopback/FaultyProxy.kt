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

/** A TCP proxy on loopback between one node and a service, for troubles that a test switches on and off. */
class FaultyProxy(private val targetPort: Int, seed: Int) : AutoCloseable {
    private val random = Random(seed)
    private val listener = ServerSocket(0, 4, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    var trouble = NetworkFault.NONE

    @Volatile
    private var isOpen = true
    val port get() = listener.localPort

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    private fun acceptAll() {
        while (isOpen) {
            waitWhile { trouble == NetworkFault.HOLD }
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
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (!pass(buffer, count, from, to.getOutputStream(), isRequest)) break
            }
        } catch (_: IOException) {
            // The other side's pump, or the end of the proxy, has closed the sockets.
        }
        close(from)
        close(to)
    }

    /** False if the connection ends with this. */
    private fun pass(buffer: ByteArray, count: Int, from: Socket, to: OutputStream, isRequest: Boolean): Boolean {
        waitWhile { trouble == NetworkFault.HOLD || trouble == NetworkFault.HOLD_DATA }
        when (trouble) {
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
        Thread.sleep(REFUSAL_MS)
        input.skip(input.available().toLong())
        return false
    }

    private fun waitWhile(condition: () -> Boolean) {
        while (isOpen && condition()) Thread.sleep(STEP_MS)
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
        const val STEP_MS = 5L
        const val MAX_DELAY_MS = 1000L
        const val REFUSAL_MS = 20L
        val REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".toByteArray()
    }
}
