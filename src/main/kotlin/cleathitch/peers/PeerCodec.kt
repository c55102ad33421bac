package cleathitch.peers

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/**
 * The CBOR form of messages between controllers. Decoding ignores unknown fields, and throws [SerializationException] for a
 * malformed message.
 */
@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

    /** The bytes of [request]. */
    fun encode(request: PeerRequest): ByteArray = cbor.encodeToByteArray(PeerRequest.serializer(), request)

    /** The request in [bytes]. */
    fun decodeRequest(bytes: ByteArray): PeerRequest = decode(bytes, PeerRequest.serializer())

    /** The bytes of [reply]. */
    fun encode(reply: PeerReply): ByteArray = cbor.encodeToByteArray(PeerReply.serializer(), reply)

    /** The reply in [bytes]. */
    fun decodeReply(bytes: ByteArray): PeerReply = decode(bytes, PeerReply.serializer())

    // For some malformed messages the library throws exceptions of other kinds, as for an index out of range.
    @Suppress("TooGenericExceptionCaught")
    private fun <T> decode(bytes: ByteArray, deserializer: DeserializationStrategy<T>): T = try {
        cbor.decodeFromByteArray(deserializer, bytes)
    } catch (e: SerializationException) {
        throw e
    } catch (e: RuntimeException) {
        throw SerializationException("the message is malformed", e)
    }
}
