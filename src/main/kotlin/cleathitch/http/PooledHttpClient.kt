package cleathitch.http

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
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
 * An HTTP/1.1 client with a pool of at most [connections] connections to each server. Its calls end in a value, never in
 * an exception. It is used from the event loop of [vertx] alone.
 *
 * [name] stands in metrics and in the log; without [logsOutages], failures are only counted, as is right for a client
 * with thousands of servers.
 */
class PooledHttpClient(
    vertx: Vertx,
    name: String,
    connections: Int,
    private val connectMs: Int = 1000,
    keepAlive: Boolean = true,
    meters: MeterRegistry = SimpleMeterRegistry(),
    logsOutages: Boolean = true,
) {
    private val client: HttpClient = vertx.httpClientBuilder()
        .with(
            HttpClientOptions().setKeepAlive(keepAlive).setKeepAliveTimeout(60).setConnectTimeout(connectMs)
                .setDecompressionSupported(false).setTcpNoDelay(true),
        )
        .with(PoolOptions().setHttp1MaxSize(connections))
        .build()
    private val clientMeters = ClientMeters(name, meters)
    private val outages = if (logsOutages) OutageLog(name) { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) } else null

    /** Sends a request and waits for the whole answer, for [timeoutMs] milliseconds in all. */
    suspend fun call(to: Address, method: HttpMethod, path: String, body: ByteArray?, timeoutMs: Long): CallResult {
        val result = send(to, method, path, body, timeoutMs)
        clientMeters.ended(result)
        outages?.ended(to, path, result)
        return result
    }

    private suspend fun send(to: Address, method: HttpMethod, path: String, body: ByteArray?, timeoutMs: Long): CallResult {
        val loan = ConnectionLoan(clientMeters)
        try {
            val answer = withTimeoutOrNull(timeoutMs) {
                val options = RequestOptions().setHost(to.host).setPort(to.port).setMethod(method).setURI(path)
                    .setConnectTimeout(connectMs.toLong())
                val request = loan.obtain(client.request(options))
                val response = (if (body == null) request.send() else request.send(Buffer.buffer(body))).coAwait()
                val bytes = response.body().coAwait().bytes
                loan.answered()
                CallResult.Answered(response.statusCode(), bytes)
            }
            val stage = if (loan.isLent) CallFailure.NO_ANSWER_IN_TIME else CallFailure.NO_CONNECTION_IN_TIME
            return answer ?: CallResult.Failed(stage)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            return CallResult.Failed(failureOf(e, loan.isLent))
        } finally {
            loan.end()
        }
    }

    private fun failureOf(e: Exception, gotConnection: Boolean) = when {
        gotConnection -> CallFailure.CONNECTION_LOST
        e is TimeoutException -> CallFailure.NO_CONNECTION_IN_TIME
        else -> CallFailure.CONNECT_FAILED
    }
}
