package cleathitch.http

import cleathitch.protocol.HttpReply
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * How many connections a server may hold, so that a node keeps sockets for what it opens itself: at the limit
 * of its sockets it once had no way left to the state service.
 *
 * Past [kept] each answer ends its connection, so those who come again make room for each other; past [most]
 * a new one is closed at once, and whoever it was tries another node.
 */
class ConnectionLimit(val most: Int) {
    private val kept = most - most / SPARE_PART
    var open = 0
        private set

    val crowded get() = open > kept

    /** False if there is no room for one more. */
    fun opened(): Boolean {
        open++
        return open <= most
    }

    fun closed() {
        open--
    }

    private companion object {
        /** One in so many is left for those who come while all kept ones are in use. */
        const val SPARE_PART = 20
    }
}

/** One HTTP server that hands whole requests to a handler. */
class HttpEndpoint(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val maxBody: Int,
    /** A machine that is gone leaves its connection behind; without an end to idle ones they use up the sockets. */
    private val idleS: Int,
    private val room: ConnectionLimit,
    private val handle: suspend (method: String, path: String, body: ByteArray) -> HttpReply,
) {
    /** Starts listening and tells the port. */
    suspend fun listen(address: Address): Int {
        val options = HttpServerOptions().setHost(address.host).setPort(address.port).setTcpNoDelay(true)
            .setCompressionSupported(false).setDecompressionSupported(false).setAcceptBacklog(1024)
            .setIdleTimeout(idleS)
            // Nobody here speaks HTTP/2 or WebSocket. With the first, a connection would count only from its first byte.
            .setHttp2ClearTextEnabled(false)
            .setPerFrameWebSocketCompressionSupported(false).setPerMessageWebSocketCompressionSupported(false)
        val server = vertx.createHttpServer(options).requestHandler(::receive).connectionHandler { connection ->
            connection.closeHandler { room.closed() }
            if (!room.opened()) connection.close()
        }
            .invalidRequestHandler { it.response().setStatusCode(400).end() }
        return server.listen().coAwait().actualPort()
    }

    private fun receive(request: HttpServerRequest) {
        val body = Buffer.buffer()
        var refused = false
        request.exceptionHandler { refused = true }
        request.handler { chunk ->
            if (refused) return@handler
            if (body.length() + chunk.length() > maxBody) {
                refused = true
                // What follows isn't read: the connection can't be used again.
                respond(request, HttpReply(400, last = true))
                return@handler
            }
            body.appendBuffer(chunk)
        }
        request.endHandler {
            if (refused) return@endHandler
            scope.launch(start = CoroutineStart.UNDISPATCHED) {
                val reply = try {
                    handle(request.method().name(), request.path() ?: "", body.bytes)
                } catch (e: kotlinx.coroutines.CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.error("{} {} failed", request.method(), request.path(), e)
                    HttpReply(500)
                }
                respond(request, reply)
            }
        }
    }

    private fun respond(request: HttpServerRequest, reply: HttpReply) {
        val response = request.response()
        if (response.closed() || response.ended()) return
        response.setStatusCode(reply.status)
        reply.retryAfterS?.let { response.putHeader("Retry-After", it.toString()) }
        val last = reply.last || room.crowded
        if (last) response.putHeader("Connection", "close")
        val sent = if (reply.body != null) response.end(Buffer.buffer(reply.body)) else response.end()
        if (last) sent.onComplete { request.connection().close() }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.http")
    }
}
