package cleathitch.http

import io.micrometer.core.instrument.MeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * An HTTP/1.1 client with a pool of at most [maxConnections] connections to each server. Its calls return a [CallResult] and
 * throw no exception other than cancellation. Confined to the event loop of [vertx], which also owns the connections.
 *
 * [name] identifies the client in metrics and log lines. Without [keepAlive], each call opens its own connection. Without
 * [logsOutages], failures are only counted, which suits a client of thousands of servers.
 */
class PooledHttpClient(
    vertx: Vertx,
    name: String,
    maxConnections: Int,
    private val meterRegistry: MeterRegistry,
    private val connectTimeoutMs: Int = DEFAULT_CONNECT_TIMEOUT_MS,
    keepAlive: Boolean = true,
    logsOutages: Boolean = true,
) {
    private val client: HttpClient = vertx.httpClientBuilder()
        .with(clientOptions(keepAlive))
        .with(PoolOptions().setHttp1MaxSize(maxConnections))
        .build()
    private val clientMeters = ClientMeters(name, meterRegistry)
    private val outages = if (logsOutages) OutageLog(name, ::monotonicMs) else null

    /** Sends a request and waits for the complete response. [timeoutMs] bounds the whole call, including the wait for a connection. */
    suspend fun call(server: Address, method: HttpMethod, path: String, body: ByteArray?, timeoutMs: Long): CallResult {
        val result = withConnection(timeoutMs) { checkout -> exchange(checkout, requestOptions(server, method, path), body) }
        val outcome = CallOutcome.of(result)
        clientMeters.recordCall(outcome)
        outages?.recordCall(server, path, outcome)
        return result
    }

    /** Runs [exchange], converts each of its failures to a [CallResult.Failed], and releases its connection in any case. */
    // Vert.x fails requests with exceptions of many types, some of which are plain runtime exceptions.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun withConnection(timeoutMs: Long, exchange: suspend (ConnectionCheckout) -> CallResult.Answered): CallResult {
        val checkout = ConnectionCheckout(clientMeters)
        return try {
            withTimeoutOrNull(timeoutMs) { exchange(checkout) } ?: timedOut(checkout)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            CallResult.Failed(failureOf(e, checkout.isAcquired))
        } finally {
            checkout.end()
        }
    }

    private suspend fun exchange(checkout: ConnectionCheckout, options: RequestOptions, body: ByteArray?): CallResult.Answered {
        val request = checkout.acquire(client.request(options))
        val response = (if (body == null) request.send() else request.send(Buffer.buffer(body))).coAwait()
        val responseBody = response.body().coAwait().bytes
        checkout.recordCompleteResponse()
        return CallResult.Answered(response.statusCode(), responseBody)
    }

    private fun timedOut(checkout: ConnectionCheckout) =
        CallResult.Failed(if (checkout.isAcquired) CallFailure.NO_ANSWER_IN_TIME else CallFailure.NO_CONNECTION_IN_TIME)

    private fun failureOf(e: Exception, isAcquired: Boolean) = when {
        isAcquired -> CallFailure.CONNECTION_LOST
        e is TimeoutException -> CallFailure.NO_CONNECTION_IN_TIME
        else -> CallFailure.CONNECT_FAILED
    }

    private fun clientOptions(keepAlive: Boolean) = HttpClientOptions()
        .setKeepAlive(keepAlive)
        .setKeepAliveTimeout(KEEP_ALIVE_S)
        .setConnectTimeout(connectTimeoutMs)
        .setDecompressionSupported(false)
        .setTcpNoDelay(true)

    private fun requestOptions(server: Address, method: HttpMethod, path: String) = RequestOptions()
        .setHost(server.host)
        .setPort(server.port)
        .setMethod(method)
        .setURI(path)
        .setConnectTimeout(connectTimeoutMs.toLong())

    /** Reads the registry's clock, which is the system's unless a test replaces it. */
    private fun monotonicMs() = TimeUnit.NANOSECONDS.toMillis(meterRegistry.config().clock().monotonicTime())

    private companion object {
        const val DEFAULT_CONNECT_TIMEOUT_MS = 1000
        const val KEEP_ALIVE_S = 60
    }
}
