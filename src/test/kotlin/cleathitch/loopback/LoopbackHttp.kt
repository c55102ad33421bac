package cleathitch.loopback

import cleathitch.protocol.MessageCodec
import com.fasterxml.jackson.databind.JsonNode
import java.io.IOException
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** A controller's response to a user or worker. [body] is null if the response has no body. */
class ControllerReply(val status: Int, val body: JsonNode?) {
    /** The job's state if the response is about a job, otherwise null. */
    val jobState: String? get() = body?.get("estado")?.textValue()

    /** Whether a submission is accepted (201, or 200 if it was accepted before) or a poll returns the job's state (200). */
    val isSuccess get() = status == 200 || status == 201
}

/** HTTP calls to processes on 127.0.0.1, with the timeouts of users and workers. Thread-safe. */
object LoopbackHttp {
    private val CONNECT_TIMEOUT = Duration.ofSeconds(1)
    private val CALL_TIMEOUT = Duration.ofSeconds(4)
    private val client: HttpClient = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build()

    /** The response of the server at [port], or null if the connection fails or the call times out. */
    fun callOrNull(port: Int, method: String, path: String, body: JsonNode? = null): ControllerReply? =
        sendOrNull(port, method, path, body)?.let { response ->
            ControllerReply(response.statusCode(), response.body().takeIf { it.isNotEmpty() }?.let(MessageCodec::decodeMap))
        }

    /** The text at [path], or null if the connection fails or the call times out. */
    fun textOrNull(port: Int, path: String): String? = sendOrNull(port, "GET", path, null)?.body()?.decodeToString()

    /** Ports that are free at the time of the call. They are not reserved: the process that uses a port binds it itself. */
    fun freePorts(count: Int): List<Int> = List(count) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }

    private fun sendOrNull(port: Int, method: String, path: String, body: JsonNode?): HttpResponse<ByteArray>? = try {
        val publisher = when (body) {
            null -> HttpRequest.BodyPublishers.noBody()
            else -> HttpRequest.BodyPublishers.ofByteArray(MessageCodec.encode(body))
        }
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).timeout(CALL_TIMEOUT).method(method, publisher).build()
        client.send(request, HttpResponse.BodyHandlers.ofByteArray())
    } catch (_: IOException) {
        null
    }
}
