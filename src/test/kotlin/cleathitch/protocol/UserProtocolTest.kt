package cleathitch.protocol

import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.Priority
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.math.BigInteger

class UserProtocolTest {
    private val json = ObjectMapper()

    private fun valid(): ObjectNode = json.readTree(
        """
        {"nameId":"j-000412","cuadrilla":"train","ownerCrew":"vision","oficio":"array","urgencia":"high","tareas":16,
         "vcpus":8.0,"gpus":1.0,"memoryGb":64.0,"imagen":"img-07","pullGb":6.2,"hornadas":["g8"],"comarca":null,
         "oneZone":true,"scatter":false,"prestados":true,"aproxS":240.0,"hitoS":30.0,"guardadoS":4.0,"plazoS":900.0}
        """,
    ) as ObjectNode

    private fun parse(node: ObjectNode) = UserProtocol.submission(MessageCodec.encode(node))

    @Test
    fun `a valid submission is decoded`() {
        val spec = parse(valid())
        assertEquals("j-000412", spec.id.text)
        assertEquals(JobKind.ARRAY, spec.kind)
        assertEquals(Priority.HIGH, spec.priority)
        assertEquals(16, spec.tasks)
        assertEquals(setOf("g8"), spec.allowedTypes)
        assertNull(spec.zone)
        assertEquals(900.0, spec.deadlineS)
    }

    @Test
    fun `unknown fields are ignored and nullable ones may be missing`() {
        val node = valid().put("later", 1)
        listOf("hornadas", "comarca", "plazoS").forEach(node::remove)
        val spec = parse(node)
        assertNull(spec.allowedTypes)
        assertNull(spec.deadlineS)
    }

    @Test
    fun `a submission that violates the protocol is malformed`() {
        val invalid: Map<String, (ObjectNode) -> Unit> = mapOf(
            "id missing" to { it.remove("nameId") },
            "id null" to { it.putNull("nameId") },
            "id of the wrong form" to { it.put("nameId", "job-1") },
            "id with a newline" to { it.put("nameId", "j-000412\n") },
            "id a number" to { it.put("nameId", 412) },
            "unknown kind" to { it.put("oficio", "service") },
            "unknown priority" to { it.put("urgencia", "production") },
            "no tasks" to { it.put("tareas", 0) },
            "too many tasks" to { it.put("tareas", 100_001) },
            "tasks a float" to { it.put("tareas", 16.0) },
            "tasks beyond 64 bits" to { it.put("tareas", BigInteger.ONE.shiftLeft(64).subtract(BigInteger.ONE)) },
            "tasks a string" to { it.put("tareas", "16") },
            "negative cpus" to { it.put("vcpus", -1.0) },
            "zero cpus" to { it.put("vcpus", 0.0) },
            "NaN memory" to { it.put("memoryGb", Double.NaN) },
            "infinite memory" to { it.put("memoryGb", Double.POSITIVE_INFINITY) },
            "negative image" to { it.put("pullGb", -0.1) },
            "spot a number" to { it.put("prestados", 1) },
            "zone a number" to { it.put("comarca", 3) },
            "types a string" to { it.put("hornadas", "g8") },
            "types contain a number" to { it.putArray("hornadas").add(3) },
            "deadline zero" to { it.put("plazoS", 0.0) },
            "spread missing" to { it.remove("scatter") },
        )
        for ((name, corrupt) in invalid) {
            assertThrows(MalformedMessageException::class.java, { parse(valid().also(corrupt)) }, name)
        }
    }

    @Test
    fun `bodies that aren't one MessagePack map are malformed`() {
        val complete = MessageCodec.encode(valid())
        val bodies = mapOf(
            "empty" to ByteArray(0),
            "truncated" to complete.copyOf(complete.size - 1),
            "trailing bytes" to complete + 0x01,
            "a list" to byteArrayOf(0x90.toByte()),
            "a reserved type code" to byteArrayOf(0xc1.toByte()),
            "JSON" to """{"nameId":"j-000412"}""".toByteArray(),
        )
        for ((name, body) in bodies) assertThrows(MalformedMessageException::class.java, { UserProtocol.submission(body) }, name)
    }
}
