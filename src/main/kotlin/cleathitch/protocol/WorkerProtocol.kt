package cleathitch.protocol

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode

/** What workers and controllers say to each other. */
object WorkerProtocol {
    fun report(body: ByteArray): Heartbeat {
        val map = MessageCodec.decodeMap(body)
        return Heartbeat(
            machine = MachineId(map.text("burro")),
            address = map.text("addr"),
            type = map.text("hornada"),
            zone = map.text("comarca"),
            spot = map.bool("prestados"),
            incarnation = map.whole("jornada"),
            sequenceNumber = map.whole("folio"),
            token = FencingToken(map.whole("vara")),
            preemptionNoticeS = map.optionalAmount("avisoS"),
            tasks = map.list("tareas").map(::task),
        )
    }

    private fun task(node: JsonNode): TaskStatus {
        val state = when (val name = node.text("estado")) {
            "pulling" -> TaskState.FETCHING
            "waiting" -> TaskState.WAITING
            "running" -> TaskState.RUNNING
            "flushing" -> TaskState.SAVING
            "exited" -> TaskState.EXITED
            else -> throw MalformedMessageException("estado $name is unknown")
        }
        return TaskStatus(
            AttemptId(taskId(node.text("tarea")), node.whole("intento")),
            state,
            if (state == TaskState.EXITED) exitReason(node.optionalText("motivo")) else null,
            node.field("kept")?.booleanValue() ?: false,
        )
    }

    private fun exitReason(name: String?) = when (name) {
        "done" -> ExitReason.DONE
        "halted" -> ExitReason.STOPPED
        "error" -> ExitReason.ERROR
        "no_room" -> ExitReason.NO_ROOM
        "in_use" -> ExitReason.BUSY
        "unknown" -> ExitReason.UNKNOWN
        "peers", "alone" -> ExitReason.PEERS_MISSING
        else -> null
    }

    private fun taskId(text: String): TaskId {
        val slash = text.lastIndexOf('/')
        val index = if (slash < 0) null else text.substring(slash + 1).toIntOrNull()
        return TaskId(JobId(text.substring(0, maxOf(slash, 0))), index ?: throw MalformedMessageException("tarea $text isn't a task"))
    }

    fun answer(token: FencingToken, commands: List<WorkerCommand>): ByteArray = MessageCodec.encode(commands(token, commands))

    fun direct(token: FencingToken, incarnation: Long, commands: List<WorkerCommand>): ByteArray =
        MessageCodec.encode(commands(token, commands).put("jornada", incarnation))

    fun elsewhere(leader: String?): ByteArray = MessageCodec.encode(
        MessageCodec.newMap().also {
            if (leader !=
                null
            ) {
                it.put("capataz", leader)
            }
        },
    )

    private fun commands(token: FencingToken, commands: List<WorkerCommand>): ObjectNode {
        val map = MessageCodec.newMap().put("vara", token.packed)
        val list = map.putArray("ordenes")
        for (order in commands) {
            val node = list.addObject()
            when (order) {
                is WorkerCommand.Start -> node.put("orden", "run")
                is WorkerCommand.Stop -> node.put("orden", "stop")
                is WorkerCommand.Forget -> node.put("orden", "clear")
            }
            node.put("tarea", order.attempt.task.toString()).put("intento", order.attempt.number)
            if (order is WorkerCommand.Stop) node.put("graciaS", order.graceS)
        }
        return map
    }
}
