package cleathitch.http

import io.vertx.core.Future
import io.vertx.core.http.HttpClientRequest
import io.vertx.kotlin.coroutines.coAwait

/**
 * What one call has of a connection pool, from asking for a connection until the connection is the pool's again.
 *
 * The pool can't take its promise back: it goes on to open or free a connection for a call that has given up, and lends
 * it to nobody. So the loan, not the call, receives what the pool gives, and gives it back at once if the call is over.
 */
internal class ConnectionLoan(private val meters: ClientMeters) {
    private var request: HttpClientRequest? = null
    private var isAnswered = false
    private var isOver = false

    val isLent get() = request != null

    /** Waits for the connection that the pool has [promised]. */
    suspend fun obtain(promised: Future<HttpClientRequest>): HttpClientRequest {
        meters.asked()
        promised.onComplete { outcome ->
            meters.settled(outcome.succeeded())
            if (outcome.succeeded()) received(outcome.result())
        }
        return promised.coAwait()
    }

    private fun received(lent: HttpClientRequest) {
        request = lent
        // The call's own result tells of every failure; without a handler Vert.x logs each reset as an error.
        lent.exceptionHandler { }
        if (isOver) giveBack(lent)
    }

    /** The whole answer is there, with which the connection has returned to the pool by itself. */
    fun answered() {
        isAnswered = true
    }

    /** The call is over, however it ended. */
    fun end() {
        isOver = true
        request?.let(::giveBack)
    }

    private fun giveBack(lent: HttpClientRequest) {
        meters.returned()
        // An answer that comes too late must not be taken for that of the connection's next request.
        if (!isAnswered) lent.reset()
    }
}
