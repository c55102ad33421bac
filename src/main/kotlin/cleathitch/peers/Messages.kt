package cleathitch.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** What one node asks of another. */
@Serializable
@Suppress("ArrayInDataClass") // never compared
sealed interface PeerRequest {
    /** Who leads, as the sender knows; also a sign of life. */
    @Serializable
    @SerialName("leads")
    data class Leads(val from: String, val leader: String?, val term: Long) : PeerRequest

    /** A user's request that only the leader can answer. */
    @Serializable
    @SerialName("user")
    data class User(val method: String, val path: String, val body: ByteArray) : PeerRequest

    /** A worker's report that can't reach the leader by itself. */
    @Serializable
    @SerialName("report")
    data class WorkerReport(val body: ByteArray) : PeerRequest
}

@Serializable
@Suppress("ArrayInDataClass") // never compared
data class PeerReply(
    val status: Int,
    val body: ByteArray? = null,
    val retryAfterS: Int? = null,
    val leader: String? = null,
    val term: Long = 0,
)

@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

    fun encode(request: PeerRequest): ByteArray = cbor.encodeToByteArray(PeerRequest.serializer(), request)
    fun decodeRequest(bytes: ByteArray): PeerRequest = cbor.decodeFromByteArray(PeerRequest.serializer(), bytes)
    fun encode(reply: PeerReply): ByteArray = cbor.encodeToByteArray(PeerReply.serializer(), reply)
    fun decodeReply(bytes: ByteArray): PeerReply = cbor.decodeFromByteArray(PeerReply.serializer(), bytes)
}
