package cleathitch.http

import io.vertx.core.Future
import io.vertx.core.http.HttpClientRequest
import io.vertx.kotlin.coroutines.coAwait

/**
 * One call's use of a connection of the pool, from the acquisition until the connection is released.
 *
 * Vert.x can't cancel an acquisition: the pool goes on to open or free a connection for a call that has given up, and keeps
 * it reserved for that call. So the checkout, not the call, receives the connection, and releases it at once if the call
 * has ended by then. Without this, calls that time out use up the pool. Confined to the client's event loop.
 */
internal class ConnectionCheckout(private val meters: ClientMeters) {
    private var request: HttpClientRequest? = null
    private var isResponseComplete = false
    private var hasEnded = false

    /** The pool has given this call a connection. */
    val isAcquired get() = request != null

    /** Waits for the connection of [acquisition]; fails as the acquisition does. */
    suspend fun acquire(acquisition: Future<HttpClientRequest>): HttpClientRequest {
        meters.recordAcquisitionStart()
        acquisition.onComplete { outcome ->
            meters.recordAcquisitionEnd(outcome.succeeded())
            if (outcome.succeeded()) onAcquired(outcome.result())
        }
        return acquisition.coAwait()
    }

    private fun onAcquired(acquired: HttpClientRequest) {
        request = acquired
        // The call's own result carries every failure; without a handler Vert.x logs each reset as an error.
        acquired.exceptionHandler { }
        if (hasEnded) release(acquired)
    }

    /** The whole response is read, with which Vert.x has returned the connection to the pool by itself. */
    fun recordCompleteResponse() {
        isResponseComplete = true
    }

    /** Ends the call, however it went, and releases its connection now or as soon as the pool gives it. */
    fun end() {
        hasEnded = true
        request?.let(::release)
    }

    private fun release(acquired: HttpClientRequest) {
        meters.recordRelease()
        // A response that comes too late must not be taken for that of the connection's next request.
        if (!isResponseComplete) acquired.reset()
    }
}
