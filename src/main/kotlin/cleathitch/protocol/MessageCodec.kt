package cleathitch.protocol

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.JsonNodeFactory
import com.fasterxml.jackson.databind.node.ObjectNode
import org.msgpack.core.MessagePack
import org.msgpack.jackson.dataformat.MessagePackFactory

/** A message that isn't as the protocol's page says. */
class MalformedMessageException(message: String) : Exception(message) {
    // thrown for bad input only, where nobody reads the stack
    override fun fillInStackTrace(): Throwable = this
}

/** MessagePack bodies as Jackson trees: cheap to start, and every field is looked at by name anyway. */
object MessageCodec {
    private val mapper = ObjectMapper(MessagePackFactory()).enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)

    const val MAX_BODY = 64 * 1024

    fun newMap(): ObjectNode = JsonNodeFactory.instance.objectNode()

    fun encode(node: JsonNode): ByteArray = mapper.writeValueAsBytes(node)

    fun decodeMap(bytes: ByteArray): ObjectNode {
        if (bytes.isEmpty()) throw MalformedMessageException("the body is empty")
        val node = try {
            // Jackson's parser for MessagePack ends in an error instead of a last token, so that its own
            // check for trailing tokens can't be used.
            MessagePack.newDefaultUnpacker(bytes).use {
                it.skipValue()
                if (it.totalReadBytes != bytes.size.toLong()) throw MalformedMessageException("bytes are left over")
            }
            mapper.readTree(bytes)
        } catch (e: MalformedMessageException) {
            throw e
        } catch (e: JsonProcessingException) {
            throw MalformedMessageException("not MessagePack: ${e.originalMessage}")
        } catch (e: RuntimeException) {
            throw MalformedMessageException("not MessagePack: ${e.message}")
        } catch (e: java.io.IOException) {
            throw MalformedMessageException("not MessagePack: ${e.message}")
        }
        return node as? ObjectNode ?: throw MalformedMessageException("not a map")
    }
}

internal fun JsonNode.field(name: String): JsonNode? = get(name)?.takeUnless { it.isNull }

internal fun JsonNode.need(name: String): JsonNode = field(name) ?: throw MalformedMessageException("$name is missing")

internal fun JsonNode.text(name: String): String = optionalText(name) ?: throw MalformedMessageException("$name is missing")

internal fun JsonNode.optionalText(name: String): String? {
    val node = field(name) ?: return null
    if (!node.isTextual) throw MalformedMessageException("$name isn't text")
    return node.textValue()
}

internal fun JsonNode.bool(name: String): Boolean {
    val node = need(name)
    if (!node.isBoolean) throw MalformedMessageException("$name isn't a boolean")
    return node.booleanValue()
}

internal fun JsonNode.whole(name: String): Long {
    val node = need(name)
    if (!node.isIntegralNumber || !node.canConvertToLong()) throw MalformedMessageException("$name isn't an integer in range")
    return node.longValue()
}

internal fun JsonNode.amount(name: String): Double = optionalAmount(name) ?: throw MalformedMessageException("$name is missing")

internal fun JsonNode.optionalAmount(name: String): Double? {
    val node = field(name) ?: return null
    if (!node.isNumber) throw MalformedMessageException("$name isn't a number")
    val value = node.doubleValue()
    if (!value.isFinite()) throw MalformedMessageException("$name isn't finite")
    return value
}

internal fun JsonNode.list(name: String): List<JsonNode> {
    val node = need(name)
    if (!node.isArray) throw MalformedMessageException("$name isn't a list")
    return node.toList()
}

internal fun JsonNode.texts(name: String): List<String> = list(name).map {
    if (!it.isTextual) throw MalformedMessageException("$name holds something else than text")
    it.textValue()
}
