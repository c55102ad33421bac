package cleathitch.protocol

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

/** Names from workers and the cloud are stored with each start and rental, so their length is limited. */
class NameLengthTest {
    private val longest = "n".repeat(256)

    private fun heartbeat(machine: String = "vm-1", type: String = "m4", zone: String = "a") = MessageCodec.encode(
        MessageCodec.newMap().put("burro", machine).put("addr", "10.0.0.1:9000").put("hornada", type).put("comarca", zone)
            .put("prestados", false).put("jornada", 1).put("folio", 1).put("vara", 0).also { it.putArray("tareas") },
    )

    private fun machinePage(machine: String): ByteArray {
        val page = MessageCodec.newMap().put("truncated", false)
        page.putArray("burros").addObject().put("nameId", machine).put("addr", "10.0.0.1:9000").put("hornada", "m4").put("comarca", "a")
            .put("prestados", false).put("estado", "running").put("heldS", 1.0)
        return MessageCodec.encode(page)
    }

    private fun assertMalformed(decode: () -> Unit) {
        assertThrows(MalformedMessageException::class.java) { decode() }
    }

    /** A start on a machine with a name of any length made a record that was too large for the key-value store. */
    @Test
    fun `names of machines, types and zones in heartbeats have at most 256 characters`() {
        assertEquals(longest, WorkerProtocol.heartbeat(heartbeat(longest, longest, longest)).machine.text)
        assertMalformed { WorkerProtocol.heartbeat(heartbeat(machine = longest + "n")) }
        assertMalformed { WorkerProtocol.heartbeat(heartbeat(type = longest + "n")) }
        assertMalformed { WorkerProtocol.heartbeat(heartbeat(zone = longest + "n")) }
    }

    @Test
    fun `names of machines in the cloud's list have at most 256 characters`() {
        assertEquals(longest, CloudProtocol.machinePage(machinePage(longest)).machines.single().machine.text)
        assertMalformed { CloudProtocol.machinePage(machinePage(longest + "n")) }
    }
}
