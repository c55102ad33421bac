package cleathitch.peers

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/**
 * Encodes and decodes the messages between controllers as CBOR. Decoding ignores unknown fields, and throws
 * [SerializationException] for a malformed message.
 */
@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

    /** Encodes [request]. */
    fun encode(request: PeerRequest): ByteArray = cbor.encodeToByteArray(PeerRequest.serializer(), request)

    /** Decodes a request. */
    fun decodeRequest(bytes: ByteArray): PeerRequest = decode(bytes, PeerRequest.serializer())

    /** Encodes [reply]. */
    fun encode(reply: PeerReply): ByteArray = cbor.encodeToByteArray(PeerReply.serializer(), reply)

    /** Decodes a reply. */
    fun decodeReply(bytes: ByteArray): PeerReply = decode(bytes, PeerReply.serializer())

    // For some malformed messages the library throws other exceptions, such as IndexOutOfBoundsException.
    @Suppress("TooGenericExceptionCaught")
    private fun <T> decode(bytes: ByteArray, deserializer: DeserializationStrategy<T>): T = try {
        cbor.decodeFromByteArray(deserializer, bytes)
    } catch (e: SerializationException) {
        throw e
    } catch (e: RuntimeException) {
        throw SerializationException("malformed peer message of ${bytes.size} bytes", e)
    }
}
