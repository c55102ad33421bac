package cleathitch.http

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull

/** Where a server listens. */
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"

    companion object {
        fun parse(text: String): Address? {
            val colon = text.lastIndexOf(':')
            val port = if (colon > 0) text.substring(colon + 1).toIntOrNull() else null
            return if (port != null && port in 0..65535) Address(text.substring(0, colon), port) else null
        }
    }
}

class Answer(val status: Int, val body: ByteArray)

/** HTTP calls that end in an answer or in null: no answer says nothing about what was carried out. */
class Caller(vertx: Vertx, connections: Int, private val connectMs: Int = 1000, keepAlive: Boolean = true) {
    private val client: HttpClient = vertx.httpClientBuilder()
        .with(
            HttpClientOptions().setKeepAlive(keepAlive).setKeepAliveTimeout(60).setConnectTimeout(connectMs)
                .setDecompressionSupported(false).setTcpNoDelay(true),
        )
        .with(PoolOptions().setHttp1MaxSize(connections))
        .build()

    suspend fun call(to: Address, method: HttpMethod, path: String, body: ByteArray?, timeoutMs: Long): Answer? {
        var request: HttpClientRequest? = null
        var complete = false
        try {
            return withTimeoutOrNull(timeoutMs) {
                val options = RequestOptions().setHost(to.host).setPort(to.port).setMethod(method).setURI(path)
                    .setConnectTimeout(connectMs.toLong())
                val sent = client.request(options).coAwait()
                request = sent
                val response = (if (body == null) sent.send() else sent.send(Buffer.buffer(body))).coAwait()
                val bytes = response.body().coAwait().bytes
                complete = true
                Answer(response.statusCode(), bytes)
            }
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            return null
        } finally {
            // An answer that comes too late must not be taken for that of the connection's next request.
            if (!complete) request?.reset()
        }
    }
}
