package cleathitch.http

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import java.util.concurrent.ConcurrentLinkedQueue

/**
 * An HTTP server on loopback that responds at once, late, partially, on demand or not at all, on its own event loop. The path of
 * a request selects the behavior; if [modeForPath] is given, its result for the path selects the behavior instead.
 */
class StubServer(private val modeForPath: ((String) -> String)? = null) : AutoCloseable {
    private val vertx = Vertx.vertx()
    private val held = ConcurrentLinkedQueue<HttpServerRequest>()

    private val server = vertx.createHttpServer().requestHandler(::receive)
    val address = Address("127.0.0.1", runBlocking { server.listen(0, "127.0.0.1").coAwait().actualPort() })

    private fun receive(request: HttpServerRequest) {
        when (modeForPath?.invoke(request.path()) ?: request.path()) {
            HELD -> held += request
            LATE -> vertx.setTimer(LATE_MS) { respond(request) }
            RESET -> request.connection().close()
            CUT_OFF -> request.response().putHeader("Content-Length", "10").write("part").onComplete { request.connection().close() }
            else -> respond(request)
        }
    }

    private fun respond(request: HttpServerRequest) {
        if (!request.response().closed()) request.response().setStatusCode(STATUS).end()
    }

    /** The number of requests that wait for [release]. */
    val heldRequests get() = held.size

    /** Responds to all held requests. */
    fun release() {
        while (true) respond(held.poll() ?: return)
    }

    override fun close() {
        vertx.close()
    }

    companion object {
        const val IMMEDIATE = "/at-once"
        const val HELD = "/held"
        const val LATE = "/late"
        const val RESET = "/reset"
        const val CUT_OFF = "/cut-off"
        val BEHAVIORS = listOf(IMMEDIATE, HELD, LATE, RESET, CUT_OFF)

        /** The status of all responses. No client decodes the body of a response with this status. */
        const val STATUS = 503
        private const val LATE_MS = 15L
    }
}
