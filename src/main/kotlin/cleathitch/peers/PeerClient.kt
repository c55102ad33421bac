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

/** Asks other nodes. */
class PeerClient(vertx: Vertx, meters: MeterRegistry) {
    private val client = PooledHttpClient(vertx, "peers", maxConnections = CONNECTIONS, meters, connectTimeoutMs = CONNECT_TIMEOUT_MS)

    suspend fun ask(peer: Address, request: PeerRequest, timeoutMs: Long): PeerResult = ask(peer, PeerCodec.encode(request), timeoutMs)

    /** Sends an encoded request, so that one that goes to several peers is encoded once. */
    suspend fun ask(peer: Address, encoded: ByteArray, timeoutMs: Long): PeerResult =
        when (val result = client.call(peer, HttpMethod.POST, PATH, encoded, timeoutMs)) {
            is CallResult.Answered -> if (result.status == 200) decoded(peer, result) else PeerResult.Unreachable
            is CallResult.Failed -> when (result.failure) {
                CallFailure.NO_ANSWER_IN_TIME -> PeerResult.TimedOut
                CallFailure.NO_CONNECTION_IN_TIME, CallFailure.CONNECT_FAILED, CallFailure.CONNECTION_LOST -> PeerResult.Unreachable
            }
        }

    private fun decoded(peer: Address, answer: CallResult.Answered): PeerResult = try {
        PeerResult.Answered(PeerCodec.decodeReply(answer.body))
    } catch (e: SerializationException) {
        log.error("a garbled answer from peer {}: {}", peer, e.message)
        PeerResult.Unreachable
    }

    companion object {
        const val PATH = "/peer"

        /** A batch is cut to fit by far: each of its parts is bounded, or holds one message of at most a body's size. */
        const val MAX_BODY = 4 * MessageCodec.MAX_BODY

        /** To each peer: one request in flight on each, and an answer takes a few milliseconds. */
        const val CONNECTIONS = 16
        private const val CONNECT_TIMEOUT_MS = 500
        private val log = LoggerFactory.getLogger("cleathitch.peers")
    }
}
