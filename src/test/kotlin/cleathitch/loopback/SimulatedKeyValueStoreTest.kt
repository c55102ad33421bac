package cleathitch.loopback

import cleathitch.protocol.MessageCodec
import cleathitch.scheduler.model.StoreLimits
import com.fasterxml.jackson.databind.node.ObjectNode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The simulated store accepts what is exactly at a limit of the platform, and rejects what exceeds it by one. */
class SimulatedKeyValueStoreTest {
    private val limits = StoreLimits(StoreLimits.MAX_TRANSACTION_BYTES, valueBytes = 16_384, operations = 32)
    private val store = SimulatedKeyValueStore(limits)

    private fun transaction(): ObjectNode = MessageCodec.newMap().also {
        it.putArray("guards")
        it.putArray("apply")
    }

    private fun ObjectNode.write(key: String, valueBytes: Int) = apply {
        val value = MessageCodec.newMap().put("v", "")
        value.put("v", "x".repeat(valueBytes - MessageCodec.jsonBytes(value)))
        withArray("apply").addObject().put("put", key).set<ObjectNode>("data", value)
    }

    private fun status(transaction: ObjectNode) = store.handleOrNull("POST", "/txn", emptyMap(), transaction)?.status

    /** A transaction of five values that has exactly [bytes]. */
    private fun transactionOf(bytes: Int): ObjectNode {
        val four = transaction().also { (1..4).forEach { part -> it.write("k/$part", FILLER_BYTES) } }
        val rest = bytes - MessageCodec.jsonBytes(four.deepCopy().write("k/5", FILLER_BYTES)) + FILLER_BYTES
        return four.write("k/5", rest).also { assertEquals(bytes, MessageCodec.jsonBytes(it)) }
    }

    @Test
    fun `a transaction may have 64 KiB and not a byte more`() {
        assertEquals(200, status(transactionOf(65_536)))
        assertEquals(400, status(transactionOf(65_537)))
    }

    @Test
    fun `a value may have its limit and not a byte more`() {
        assertEquals(200, status(transaction().write("k", 16_384)))
        assertEquals(400, status(transaction().write("k", 16_385)))
    }

    @Test
    fun `a transaction may have its limit of changes, writes and deletions together, and not one more`() {
        fun changes(count: Int) = transaction().also {
            repeat(count - 1) { number -> it.write("k/$number", valueBytes = 20) }
            it.withArray("apply").addObject().put("delete", "other")
        }
        assertEquals(200, status(changes(32)))
        assertEquals(400, status(changes(33)))
    }

    @Test
    fun `a transaction may have four times as many conditions as changes, and not one more`() {
        fun conditions(count: Int) = transaction().also {
            repeat(count) { number -> it.withArray("guards").addObject().put("k", "absent/$number").put("retoque", 0) }
        }
        assertEquals(200, status(conditions(128)))
        assertEquals(400, status(conditions(129)))
    }

    @Test
    fun `a key may have 200 bytes and no spaces`() {
        assertEquals(200, status(transaction().write("k".repeat(200), valueBytes = 20)))
        assertEquals(400, status(transaction().write("k".repeat(201), valueBytes = 20)))
        assertEquals(400, status(transaction().write("a b", valueBytes = 20)))
    }

    private companion object {
        const val FILLER_BYTES = 13_000
    }
}
