package cleathitch.http

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * An HTTP/1.1 server that passes complete requests, with a body of at most [maxBodyBytes], to [handle] in a coroutine of
 * [scope]. It runs on the event loop of [vertx] and listens until [vertx] is closed. An exception thrown by [handle] results in
 * status 500.
 */
class HttpEndpoint(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val maxBodyBytes: Int,
    /**
     * The time in seconds after which an idle connection is closed. Without this timeout, the connections of terminated machines would
     * exhaust the sockets.
     */
    private val idleTimeoutS: Int,
    private val connectionLimit: ConnectionLimit,
    private val handle: suspend (method: String, path: String, body: ByteArray) -> HttpResponse,
) {
    /** Starts listening and returns the port, which the system assigns if that of [address] is 0. Throws if the port is in use. */
    suspend fun listen(address: Address): Int {
        val server = vertx.createHttpServer(options(address))
            .requestHandler(::receive)
            .connectionHandler(::admit)
            .invalidRequestHandler { it.response().setStatusCode(BAD_REQUEST).end() }
        return server.listen().coAwait().actualPort()
    }

    private fun options(address: Address) = HttpServerOptions()
        .setHost(address.host)
        .setPort(address.port)
        .setTcpNoDelay(true)
        .setCompressionSupported(false)
        .setDecompressionSupported(false)
        .setAcceptBacklog(ACCEPT_BACKLOG)
        .setIdleTimeout(idleTimeoutS)
        // No client uses HTTP/2 or WebSocket. With HTTP/2 enabled, a connection would be counted only from its first byte on.
        .setHttp2ClearTextEnabled(false)
        .setPerFrameWebSocketCompressionSupported(false)
        .setPerMessageWebSocketCompressionSupported(false)

    private fun admit(connection: HttpConnection) {
        connection.closeHandler { connectionLimit.recordClosed() }
        if (!connectionLimit.recordOpened()) connection.close()
    }

    private fun receive(request: HttpServerRequest) {
        val body = Buffer.buffer()
        var isRejected = false
        request.exceptionHandler { isRejected = true }
        request.handler { chunk ->
            if (isRejected) return@handler
            if (body.length() + chunk.length() <= maxBodyBytes) {
                body.appendBuffer(chunk)
            } else {
                isRejected = true
                // The rest of the body isn't read, so the connection can't be reused for another request.
                respond(request, HttpResponse(BAD_REQUEST, closesConnection = true))
            }
        }
        request.endHandler { if (!isRejected) handleComplete(request, body) }
    }

    /** Starts [handle] undispatched, because the caller already runs on the event loop. */
    private fun handleComplete(request: HttpServerRequest, body: Buffer) {
        scope.launch(start = CoroutineStart.UNDISPATCHED) { respond(request, replyTo(request, body.bytes)) }
    }

    // Whatever the exception, the request gets a response and the failure is logged; the server and other requests aren't affected.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun replyTo(request: HttpServerRequest, body: ByteArray): HttpResponse = try {
        handle(request.method().name(), request.path() ?: "", body)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.error("event=request_failed method={} path={}", request.method(), request.path(), e)
        HttpResponse(INTERNAL_SERVER_ERROR)
    }

    private fun respond(request: HttpServerRequest, reply: HttpResponse) {
        val response = request.response()
        if (response.closed() || response.ended()) return
        response.setStatusCode(reply.status)
        reply.retryAfterS?.let { response.putHeader("Retry-After", it.toString()) }
        val closesConnection = reply.closesConnection || connectionLimit.isNearlyFull
        if (closesConnection) response.putHeader("Connection", "close")
        val sent = if (reply.body != null) response.end(Buffer.buffer(reply.body)) else response.end()
        if (closesConnection) sent.onComplete { request.connection().close() }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.http")
        const val BAD_REQUEST = 400
        const val INTERNAL_SERVER_ERROR = 500

        /** The number of connections that the kernel queues until the event loop accepts them; further ones are dropped or refused. */
        const val ACCEPT_BACKLOG = 1024
    }
}
