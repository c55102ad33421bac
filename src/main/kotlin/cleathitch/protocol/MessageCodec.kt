package cleathitch.protocol

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.JsonNodeFactory
import com.fasterxml.jackson.databind.node.ObjectNode
import org.msgpack.core.MessagePack
import org.msgpack.jackson.dataformat.MessagePackFactory
import java.io.IOException

/** A message that breaks its protocol: what is wrong, and in which field. Nothing of such a message may be used. */
class MalformedMessageException(message: String, cause: Throwable? = null) : Exception(message, cause) {
    // Thrown for input that can't be parsed, where the stack says nothing; filling it in would make a flood of bad input cost more.
    override fun fillInStackTrace(): Throwable = this
}

/** MessagePack bodies as Jackson trees: unlike generated readers they cost little at start, and fields are read by name anyway. */
object MessageCodec {
    private val mapper = ObjectMapper(MessagePackFactory()).enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)

    /** The largest body of a request of a worker or a user, in bytes. */
    const val MAX_BODY = 64 * 1024

    /** An empty message, to be filled and passed to [encode]. */
    fun newMap(): ObjectNode = JsonNodeFactory.instance.objectNode()

    /** The MessagePack bytes of [node]. */
    fun encode(node: JsonNode): ByteArray = mapper.writeValueAsBytes(node)

    /** Reads a body that must be exactly one map; throws [MalformedMessageException] for anything else. */
    fun decodeMap(bytes: ByteArray): ObjectNode {
        if (bytes.isEmpty()) throw MalformedMessageException("the body is empty")
        return readTree(bytes) as? ObjectNode ?: throw MalformedMessageException("not a map")
    }

    // For some malformed bytes the library throws runtime exceptions of several kinds.
    @Suppress("TooGenericExceptionCaught")
    private fun readTree(bytes: ByteArray): JsonNode? = try {
        checkNoTrailingBytes(bytes)
        mapper.readTree(bytes)
    } catch (e: JsonProcessingException) {
        throw MalformedMessageException("not MessagePack: ${e.originalMessage}", e)
    } catch (e: RuntimeException) {
        throw MalformedMessageException("not MessagePack: ${e.message}", e)
    } catch (e: IOException) {
        throw MalformedMessageException("not MessagePack: ${e.message}", e)
    }

    /** Jackson's own check can't be used: its parser for MessagePack ends in an error instead of a last token. */
    private fun checkNoTrailingBytes(bytes: ByteArray) = MessagePack.newDefaultUnpacker(bytes).use {
        it.skipValue()
        if (it.totalReadBytes != bytes.size.toLong()) throw MalformedMessageException("bytes are left over")
    }
}
