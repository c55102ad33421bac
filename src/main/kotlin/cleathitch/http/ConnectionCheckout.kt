package cleathitch.http

import io.vertx.core.Future
import io.vertx.core.http.HttpClientRequest
import io.vertx.kotlin.coroutines.coAwait

/**
 * One call's use of a pooled connection, from its acquisition to its release.
 *
 * Vert.x can't cancel an acquisition: the pool still provides a connection for a call that has timed out or was cancelled, and
 * keeps it reserved for that call. Therefore the checkout, not the call, receives the connection, and releases it at once if
 * the call has already ended. Otherwise calls that time out would exhaust the pool. Confined to the client's event loop.
 */
internal class ConnectionCheckout(private val meters: ClientMeters) {
    private var request: HttpClientRequest? = null
    private var isResponseComplete = false
    private var hasEnded = false

    /** Whether the pool has provided a connection to this call. */
    val isAcquired get() = request != null

    /** Waits until [acquisition] has provided a connection; throws its exception if it fails. */
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
        // The call's result reports every failure; without a handler Vert.x would log each reset as an error.
        acquired.exceptionHandler { }
        if (hasEnded) release(acquired)
    }

    /** Records that the complete response has been read, upon which Vert.x returns the connection to the pool by itself. */
    fun recordCompleteResponse() {
        isResponseComplete = true
    }

    /** Ends the call, whatever its result, and releases its connection now or as soon as the pool provides it. */
    fun end() {
        hasEnded = true
        request?.let(::release)
    }

    private fun release(acquired: HttpClientRequest) {
        meters.recordRelease()
        // A late response must not be read as the response to the connection's next request.
        if (!isResponseComplete) acquired.reset()
    }
}
