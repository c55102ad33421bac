package cleathitch.peers

import cleathitch.http.Address
import cleathitch.http.CallFailure
import cleathitch.http.CallResult
import cleathitch.http.PooledHttpClient
import cleathitch.protocol.MessageCodec
import io.micrometer.core.instrument.MeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory

/** Sends requests to other controllers. Failures are returned, not thrown. Confined to the event loop of its `vertx`. */
class PeerClient(vertx: Vertx, meterRegistry: MeterRegistry) {
    private val client =
        PooledHttpClient(vertx, "peers", maxConnections = CONNECTIONS, meterRegistry, connectTimeoutMs = CONNECT_TIMEOUT_MS)

    /** Sends [request] and waits for the answer, for at most [timeoutMs]. */
    suspend fun request(peer: Address, request: PeerRequest, timeoutMs: Long): PeerResult =
        request(peer, PeerCodec.encode(request), timeoutMs)

    /** Sends a request that is already encoded, so that a request to several peers is encoded only once. */
    suspend fun request(peer: Address, encoded: ByteArray, timeoutMs: Long): PeerResult =
        when (val result = client.call(peer, HttpMethod.POST, PATH, encoded, timeoutMs)) {
            is CallResult.Answered -> when (result.status) {
                OK -> decode(peer, result)
                BAD_REQUEST -> rejected(peer, encoded.size)
                else -> PeerResult.Unreachable
            }
            is CallResult.Failed -> when (result.failure) {
                CallFailure.NO_ANSWER_IN_TIME -> PeerResult.TimedOut
                CallFailure.NO_CONNECTION_IN_TIME, CallFailure.CONNECT_FAILED, CallFailure.CONNECTION_LOST -> PeerResult.Unreachable
            }
        }

    private fun rejected(peer: Address, bytes: Int): PeerResult {
        log.error("event=peer_request_rejected server={} bytes={} limit={}", peer, bytes, MAX_BODY_BYTES)
        return PeerResult.Rejected
    }

    private fun decode(peer: Address, answer: CallResult.Answered): PeerResult = try {
        PeerResult.Answered(PeerCodec.decodeReply(answer.body))
    } catch (e: SerializationException) {
        log.error("event=malformed_answer client=peers server={} error=\"{}\"", peer, e.message)
        PeerResult.Unreachable
    }

    companion object {
        /** The path at which every controller accepts requests of its peers. */
        const val PATH = "/peer"

        /**
         * The maximum size of a request's body, in bytes. The senders' messages stay below it: their lists are limited to half of it
         * together, and an item that exceeds the limit of its list is the only one there and has at most [MessageCodec.MAX_BODY_BYTES].
         */
        const val MAX_BODY_BYTES = 4 * MessageCodec.MAX_BODY_BYTES

        /** The maximum number of connections to each peer. Each handles one request at a time; a request takes a few milliseconds. */
        const val CONNECTIONS = 16
        private const val CONNECT_TIMEOUT_MS = 500
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private val log = LoggerFactory.getLogger("cleathitch.peers")
    }
}
