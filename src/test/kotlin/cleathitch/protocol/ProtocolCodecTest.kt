package cleathitch.protocol

import cleathitch.peers.PeerCodec
import cleathitch.peers.PeerRequest
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.ObjectNode
import kotlinx.serialization.SerializationException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Messages of workers, cloud provider and key-value store are decoded as the protocol defines, and malformed ones are rejected. */
class ProtocolCodecTest {
    private val json = ObjectMapper()
    private fun node(text: String) = json.readTree(text) as ObjectNode

    /** A message, its decoder and its required fields; `a.b` is the field `b` of each item of the list `a`. */
    private class MessageCase(val name: String, val text: String, val requiredFields: List<String>, val decode: (ByteArray) -> Any?)

    private val messages = listOf(
        MessageCase(
            "heartbeat",
            """{"burro":"vm-000231","addr":"10.1.0.232:9000","hornada":"g8","comarca":"a","prestados":true,"jornada":1,"folio":88,"vara":41,
                "avisoS":null,"tareas":[{"tarea":"j-000412/3","intento":2,"estado":"running"}]}""",
            listOf("burro", "addr", "hornada", "comarca", "prestados", "jornada", "folio", "vara", "tareas") +
                listOf("tareas.tarea", "tareas.intento", "tareas.estado"),
            WorkerProtocol::heartbeat,
        ),
        MessageCase(
            "machine types",
            """{"hornadas":[{"label":"g8","vcpus":96,"gpus":8,"memoryGb":768,"localGb":200,"fetchGbPerS":1.0,"rate":12.0,"spotPrice":4.5,
                "bootS":45,"comarcas":["a","b"]}]}""",
            listOf(
                "hornadas",
                "hornadas.label",
                "hornadas.vcpus",
                "hornadas.memoryGb",
                "hornadas.rate",
                "hornadas.bootS",
                "hornadas.comarcas",
            ),
            CloudProtocol::machineTypes,
        ),
        MessageCase(
            "machines",
            """{"burros":[{"nameId":"vm-000231","addr":"10.1.0.232:9000","hornada":"g8","comarca":"a","prestados":true,"estado":"running",
                "heldS":61.5}],"truncated":false}""",
            listOf(
                "burros",
                "truncated",
                "burros.nameId",
                "burros.addr",
                "burros.hornada",
                "burros.prestados",
                "burros.estado",
                "burros.heldS",
            ),
            CloudProtocol::machinePage,
        ),
        MessageCase("rental", """{"burros":["vm-000231"]}""", listOf("burros"), CloudProtocol::rentedMachines),
        MessageCase(
            "keys",
            """{"entries":[{"k":"a/b","data":{"x":1},"retoque":412}],"truncated":true,"asiento":431}""",
            listOf("entries", "truncated", "asiento", "entries.k", "entries.data", "entries.retoque"),
            KeyValueStoreProtocol::page,
        ),
        MessageCase("revision", """{"asiento":432}""", listOf("asiento"), KeyValueStoreProtocol::revision),
        MessageCase("failed keys", """{"failed":["a/b"],"asiento":431}""", listOf("failed"), KeyValueStoreProtocol::failedKeys),
        MessageCase("lease", """{"arriendo":7}""", listOf("arriendo"), KeyValueStoreProtocol::lease),
    )

    @TestFactory
    fun `each message is decoded, and is malformed if a required field is missing or of another type`() = messages.flatMap { message ->
        val valid = DynamicTest.dynamicTest("${message.name} with an unknown field is decoded") {
            message.decode(MessageCodec.encode(node(message.text).put("later", 1)))
        }
        listOf(valid) + message.requiredFields.flatMap { field ->
            listOf("missing" to null, "of another type" to json.readTree("""[{"x":"y"}]""")).map { (how, value) ->
                DynamicTest.dynamicTest("${message.name}: $field $how") {
                    val malformed = node(message.text)
                    val isNested = '.' in field
                    val parent = if (isNested) malformed.get(field.substringBefore('.'))[0] as ObjectNode else malformed
                    val name = field.substringAfter('.')
                    if (value == null) parent.remove(name) else parent.set<ObjectNode>(name, if (name == "data") json.nullNode() else value)
                    assertThrows(MalformedMessageException::class.java) { message.decode(MessageCodec.encode(malformed)) }
                }
            }
        }
    }

    @TestFactory
    fun `a body that isn't exactly one map is malformed`() = messages.flatMap { message ->
        val complete = MessageCodec.encode(node(message.text))
        listOf(
            "empty" to ByteArray(0),
            "truncated" to complete.copyOf(complete.size - 1),
            "trailing bytes" to complete + 1,
            "a list" to byteArrayOf(0x90.toByte()),
        )
            .map { (how, bytes) ->
                DynamicTest.dynamicTest("${message.name}: $how") {
                    assertThrows(MalformedMessageException::class.java) { message.decode(bytes) }
                }
            }
    }

    @Test
    fun `task states and exit reasons are decoded by name`() {
        fun task(fields: String) = WorkerProtocol.heartbeat(
            MessageCodec.encode(
                node(messages[0].text).also {
                    (it.get("tareas") as ArrayNode).removeAll().add(node("""{"tarea":"j-000412/3","intento":2,$fields}"""))
                },
            ),
        ).tasks.single()
        val id = AttemptId(TaskId(JobId("j-000412"), 3), 2)
        assertEquals(TaskStatus(id, TaskState.FETCHING), task(""""estado":"pulling""""))
        assertEquals(TaskStatus(id, TaskState.SAVING), task(""""estado":"flushing""""))
        assertEquals(
            TaskStatus(id, TaskState.EXITED, ExitReason.STOPPED, saved = true),
            task(""""estado":"exited","motivo":"halted","kept":true"""),
        )
        assertEquals(TaskStatus(id, TaskState.EXITED, null), task(""""estado":"exited","motivo":"later known""""))
        assertThrows(MalformedMessageException::class.java) { task(""""estado":"dancing"""") }
    }

    @Test
    fun `commands are encoded as the protocol defines`() {
        val id = AttemptId(TaskId(JobId("j-000412"), 4), 2)
        val body = WorkerProtocol.directCommands(
            FencingToken(41),
            1,
            listOf(WorkerCommand.Start(id), WorkerCommand.Stop(id, 10.0), WorkerCommand.Forget(id)),
        )
        val expected = node(
            """{"vara":41,"ordenes":[{"orden":"run","tarea":"j-000412/4","intento":2},{"orden":"stop","tarea":"j-000412/4","intento":2,"graciaS":10.0},
                {"orden":"clear","tarea":"j-000412/4","intento":2}],"jornada":1}""",
        )
        assertEquals(json.readTree(expected.toString()), json.readTree(MessageCodec.decodeMap(body).toString()))
    }

    @Test
    fun `peer requests are decoded as they were encoded, and malformed ones are rejected`() {
        val imageCaches = mapOf(
            MachineId("vm-1") to ImageCache(2, mapOf("a" to 1.5, "b" to 0.5)),
            MachineId("vm-2") to ImageCache(1, mapOf("b" to 0.5)),
        )
        val part = PeerRequest.ImageCacheHints.of(imageCaches).single()
        assertEquals(imageCaches, (PeerCodec.decodeRequest(PeerCodec.encode(part)) as PeerRequest.ImageCacheHints).toImageCaches())
        val announcement = PeerRequest.AnnounceLeader("n0", "n0", 9)
        assertEquals(announcement, PeerCodec.decodeRequest(PeerCodec.encode(announcement)))
        assertThrows(SerializationException::class.java) { PeerCodec.decodeRequest(byteArrayOf(1, 2, 3)) }
    }
}
