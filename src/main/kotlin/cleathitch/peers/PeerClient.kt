package cleathitch.peers

import cleathitch.http.Address
import cleathitch.http.PooledHttpClient
import cleathitch.http.answerWith
import cleathitch.protocol.Wire
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory

/** Asks other nodes; null is no answer. */
class PeerClient(vertx: Vertx, meters: MeterRegistry = SimpleMeterRegistry()) {
    private val client = PooledHttpClient(vertx, "peers", connections = CONNECTIONS, connectMs = 500, meters = meters)

    suspend fun ask(peer: Address, request: PeerRequest, timeoutMs: Long): PeerReply? = ask(peer, PeerCodec.encode(request), timeoutMs)

    /** Sends an encoded request, so that one that goes to several peers is encoded once. */
    suspend fun ask(peer: Address, encoded: ByteArray, timeoutMs: Long): PeerReply? {
        val answer = client.call(peer, HttpMethod.POST, PATH, encoded, timeoutMs).answerWith(200) ?: return null
        return try {
            PeerCodec.decodeReply(answer.body)
        } catch (e: SerializationException) {
            log.error("a garbled answer from peer {}: {}", peer, e.message)
            null
        }
    }

    companion object {
        const val PATH = "/peer"

        /** A batch is cut to fit by far: each of its parts is bounded, or holds one message of at most a body's size. */
        const val MOST_BODY = 4 * Wire.MAX_BODY

        /** To each peer: one request in flight on each, and an answer takes a few milliseconds. */
        const val CONNECTIONS = 16
        private val log = LoggerFactory.getLogger("cleathitch.peers")
    }
}
