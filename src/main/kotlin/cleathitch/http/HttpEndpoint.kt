package cleathitch.http

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

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
