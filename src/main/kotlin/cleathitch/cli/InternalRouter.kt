package cleathitch.cli

import cleathitch.controller.PeerRequestHandler
import cleathitch.http.HttpReply
import cleathitch.metrics.MetricsText
import cleathitch.metrics.logValue
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerCodec
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory

/** Routes requests that arrive at the internal address: those of other controllers, and those for the metrics. */
internal class InternalRouter(private val peerRequests: PeerRequestHandler, private val meterRegistry: MeterRegistry) {
    /** Handles one request. */
    suspend fun handle(method: String, path: String, body: ByteArray): HttpReply = when {
        path == PeerClient.PATH && method == "POST" -> handlePeerRequest(body)
        path == METRICS_PATH && method == "GET" -> HttpReply(200, MetricsText.text(meterRegistry).toByteArray())
        else -> HttpReply(404)
    }

    private suspend fun handlePeerRequest(body: ByteArray): HttpReply = try {
        HttpReply(200, PeerCodec.encode(peerRequests.handle(PeerCodec.decodeRequest(body))))
    } catch (e: SerializationException) {
        log.error("event=malformed_peer_request error={}", logValue(e.message.orEmpty()))
        HttpReply(400)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.cli")
        const val METRICS_PATH = "/metrics"
    }
}
