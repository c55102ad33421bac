package cleathitch.cli

import cleathitch.controller.PeerRequestHandler
import cleathitch.http.HttpResponse
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
    suspend fun handle(method: String, path: String, body: ByteArray): HttpResponse = when {
        path == PeerClient.PATH && method == "POST" -> handlePeerRequest(body)
        path == METRICS_PATH && method == "GET" -> HttpResponse(200, MetricsText.text(meterRegistry).toByteArray())
        else -> HttpResponse(404)
    }

    private suspend fun handlePeerRequest(body: ByteArray): HttpResponse = try {
        HttpResponse(200, PeerCodec.encode(peerRequests.handle(PeerCodec.decodeRequest(body))))
    } catch (e: SerializationException) {
        log.error("event=malformed_peer_request error={}", logValue(e.message.orEmpty()))
        HttpResponse(400)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.cli")
        const val METRICS_PATH = "/metrics"
    }
}
