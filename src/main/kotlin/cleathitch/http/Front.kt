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

/** One HTTP server that hands whole requests to a handler. */
class Front(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val maxBody: Int,
    /** A machine that is gone leaves its connection behind; without an end to idle ones they use up the sockets. */
    private val idleS: Int,
    private val handle: suspend (method: String, path: String, body: ByteArray) -> HttpReply,
) {
    /** Starts listening and tells the port. */
    suspend fun listen(address: Address): Int {
        val options = HttpServerOptions().setHost(address.host).setPort(address.port).setTcpNoDelay(true)
            .setCompressionSupported(false).setDecompressionSupported(false).setAcceptBacklog(1024)
            .setIdleTimeout(idleS)
        val server = vertx.createHttpServer(options).requestHandler(::receive)
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
                request.response().setStatusCode(400).putHeader("Connection", "close").end()
                    .onComplete { request.connection().close() }
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
        if (reply.body != null) response.end(Buffer.buffer(reply.body)) else response.end()
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.http")
    }
}
