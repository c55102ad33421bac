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

/** A message violates its protocol; the text names the field and the reason. No part of such a message may be used. */
class MalformedMessageException(message: String, cause: Throwable? = null) : Exception(message, cause) {
    // The stack trace of a parse error is of no use, and filling it in would make a flood of malformed input more expensive.
    override fun fillInStackTrace(): Throwable = this
}

/**
 * Converts MessagePack bodies to and from Jackson trees. Unlike generated deserializers, trees add little to the start-up time.
 * They suffice, because the decoding functions read each field by its name.
 */
object MessageCodec {
    private val mapper = ObjectMapper(MessagePackFactory()).enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
    private val jsonMapper = ObjectMapper()

    /** The maximum size of the body of a worker's or user's request, in bytes. */
    const val MAX_BODY_BYTES = 64 * 1024

    /** Creates an empty message, to be filled and passed to [encode]. */
    fun newMap(): ObjectNode = JsonNodeFactory.instance.objectNode()

    /** Encodes [node] as MessagePack. */
    fun encode(node: JsonNode): ByteArray = mapper.writeValueAsBytes(node)

    /** The number of bytes of [node] as JSON, the form in which size limits are counted. */
    fun jsonBytes(node: JsonNode): Int = jsonMapper.writeValueAsBytes(node).size

    /** Decodes a body that must be exactly one MessagePack map; throws [MalformedMessageException] for anything else. */
    fun decodeMap(bytes: ByteArray): ObjectNode {
        if (bytes.isEmpty()) throw MalformedMessageException("the body is empty")
        return readTree(bytes) as? ObjectNode ?: throw MalformedMessageException("the body isn't a map")
    }

    // For some malformed input the library throws various runtime exceptions.
    @Suppress("TooGenericExceptionCaught")
    private fun readTree(bytes: ByteArray): JsonNode? = try {
        checkNoTrailingBytes(bytes)
        mapper.readTree(bytes)
    } catch (e: JsonProcessingException) {
        throw MalformedMessageException("the body isn't MessagePack: ${e.originalMessage}", e)
    } catch (e: RuntimeException) {
        throw MalformedMessageException("the body isn't MessagePack: ${e.message}", e)
    } catch (e: IOException) {
        throw MalformedMessageException("the body isn't MessagePack: ${e.message}", e)
    }

    /**
     * Replaces Jackson's FAIL_ON_TRAILING_TOKENS, which can't be used here: at the end of input, the MessagePack parser throws instead
     * of returning no token.
     */
    private fun checkNoTrailingBytes(bytes: ByteArray) = MessagePack.newDefaultUnpacker(bytes).use {
        it.skipValue()
        if (it.totalReadBytes != bytes.size.toLong()) {
            throw MalformedMessageException("the message ends after ${it.totalReadBytes} of ${bytes.size} bytes")
        }
    }
}
