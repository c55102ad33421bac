package cleathitch.http

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import java.util.concurrent.ConcurrentLinkedQueue

/** An HTTP server on loopback whose answers a test holds back, cuts off or gives. It has an event loop of its own. */
class StubServer : AutoCloseable {
    private val vertx = Vertx.vertx()
    private val held = ConcurrentLinkedQueue<HttpServerRequest>()

    /** What the server does with a request to a path. */
    private val server = vertx.createHttpServer().requestHandler { request ->
        when (request.path()) {
            HELD -> held += request
            LATE -> vertx.setTimer(LATE_MS) { request.response().end() }
            RESET -> request.connection().close()
            CUT_OFF -> request.response().putHeader("Content-Length", "10").write("part").onComplete { request.connection().close() }
            else -> request.response().end("ok")
        }
    }
    val address = Address("127.0.0.1", runBlocking { server.listen(0, "127.0.0.1").coAwait().actualPort() })

    /** How many requests wait for [release]. */
    val heldRequests get() = held.size

    /** Answers what was held back. */
    fun release() {
        while (true) (held.poll() ?: return).response().end("late")
    }

    override fun close() {
        vertx.close()
    }

    companion object {
        const val AT_ONCE = "/at-once"
        const val HELD = "/held"
        const val LATE = "/late"
        const val RESET = "/reset"
        const val CUT_OFF = "/cut-off"
        private const val LATE_MS = 15L
    }
}
