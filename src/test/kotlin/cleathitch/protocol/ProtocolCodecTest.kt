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

/** What workers, cloud and key-value store send: decoded as the protocol defines it; malformed messages are rejected. */
class ProtocolCodecTest {
    private val json = ObjectMapper()
    private fun node(text: String) = json.readTree(text) as ObjectNode

    /** A message, how it is read, and the fields without which it means nothing; `a.b` is a field of each item of list `a`. */
    private class MessageCase(val name: String, val text: String, val needed: List<String>, val read: (ByteArray) -> Any?)

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
    fun `each message is read, and without a needed field it is malformed`() = messages.flatMap { message ->
        val good = DynamicTest.dynamicTest("${message.name} is read, with fields that nobody knows") {
            message.read(MessageCodec.encode(node(message.text).put("later", 1)))
        }
        listOf(good) + message.needed.flatMap { field ->
            listOf("missing" to null, "of another type" to json.readTree("""[{"x":"y"}]""")).map { (how, value) ->
                DynamicTest.dynamicTest("${message.name}: $field $how") {
                    val broken = node(message.text)
                    val isNested = '.' in field
                    val holder = if (isNested) broken.get(field.substringBefore('.'))[0] as ObjectNode else broken
                    val name = field.substringAfter('.')
                    if (value == null) holder.remove(name) else holder.set<ObjectNode>(name, if (name == "data") json.nullNode() else value)
                    assertThrows(MalformedMessageException::class.java) { message.read(MessageCodec.encode(broken)) }
                }
            }
        }
    }

    @TestFactory
    fun `what isn't one whole map is malformed`() = messages.flatMap { message ->
        val whole = MessageCodec.encode(node(message.text))
        listOf(
            "empty" to ByteArray(0),
            "cut short" to whole.copyOf(whole.size - 1),
            "trailing bytes" to whole + 1,
            "a list" to byteArrayOf(0x90.toByte()),
        )
            .map { (how, bytes) ->
                DynamicTest.dynamicTest("${message.name}: $how") {
                    assertThrows(MalformedMessageException::class.java) { message.read(bytes) }
                }
            }
    }

    @Test
    fun `states and reasons of tasks are read by their names`() {
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
    fun `commands are written as the protocol defines them`() {
        val id = AttemptId(TaskId(JobId("j-000412"), 4), 2)
        val body = WorkerProtocol.directCommands(
            FencingToken(41),
            1,
            listOf(WorkerCommand.Start(id), WorkerCommand.Stop(id, 10.0), WorkerCommand.Forget(id)),
        )
        val shown = node(
            """{"vara":41,"ordenes":[{"orden":"run","tarea":"j-000412/4","intento":2},{"orden":"stop","tarea":"j-000412/4","intento":2,"graciaS":10.0},
                {"orden":"clear","tarea":"j-000412/4","intento":2}],"jornada":1}""",
        )
        assertEquals(json.readTree(shown.toString()), json.readTree(MessageCodec.decodeMap(body).toString()))
    }

    @Test
    fun `requests between peers arrive as sent, and malformed ones are rejected`() {
        val held = mapOf(
            MachineId("vm-1") to ImageCache(2, mapOf("a" to 1.5, "b" to 0.5)),
            MachineId("vm-2") to ImageCache(1, mapOf("b" to 0.5)),
        )
        val part = PeerRequest.ImageCacheHints.of(held).single()
        assertEquals(held, (PeerCodec.decodeRequest(PeerCodec.encode(part)) as PeerRequest.ImageCacheHints).toImageCaches())
        val leads = PeerRequest.AnnounceLeader("n0", "n0", 9)
        assertEquals(leads, PeerCodec.decodeRequest(PeerCodec.encode(leads)))
        assertThrows(SerializationException::class.java) { PeerCodec.decodeRequest(byteArrayOf(1, 2, 3)) }
    }
}
