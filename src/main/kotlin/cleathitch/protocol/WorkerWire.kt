package cleathitch.protocol

import cleathitch.core.AttemptId
import cleathitch.core.ExitReason
import cleathitch.core.JobId
import cleathitch.core.MachineId
import cleathitch.core.Order
import cleathitch.core.OrderVersion
import cleathitch.core.Report
import cleathitch.core.ReportedTask
import cleathitch.core.TaskId
import cleathitch.core.TaskState
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode

/** What workers and controllers say to each other. */
object WorkerWire {
    fun report(body: ByteArray): Report {
        val map = Wire.decodeMap(body)
        return Report(
            machine = MachineId(map.text("burro")),
            addr = map.text("addr"),
            type = map.text("hornada"),
            zone = map.text("comarca"),
            spot = map.bool("prestados"),
            session = map.whole("jornada"),
            seq = map.whole("folio"),
            version = OrderVersion(map.whole("vara")),
            noticeS = map.optionalAmount("avisoS"),
            tasks = map.list("tareas").map(::task),
        )
    }

    private fun task(node: JsonNode): ReportedTask {
        val state = when (val name = node.text("estado")) {
            "pulling" -> TaskState.FETCHING
            "waiting" -> TaskState.WAITING
            "running" -> TaskState.RUNNING
            "flushing" -> TaskState.SAVING
            "exited" -> TaskState.EXITED
            else -> throw Malformed("estado $name is unknown")
        }
        return ReportedTask(
            AttemptId(taskId(node.text("tarea")), node.whole("intento")),
            state,
            if (state == TaskState.EXITED) why(node.optionalText("motivo")) else null,
            node.field("kept")?.booleanValue() ?: false,
        )
    }

    private fun why(name: String?) = when (name) {
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
        return TaskId(JobId(text.substring(0, maxOf(slash, 0))), index ?: throw Malformed("tarea $text isn't a task"))
    }

    fun answer(version: OrderVersion, orders: List<Order>): ByteArray = Wire.encode(commands(version, orders))

    fun direct(version: OrderVersion, session: Long, orders: List<Order>): ByteArray =
        Wire.encode(commands(version, orders).put("jornada", session))

    fun elsewhere(leader: String?): ByteArray = Wire.encode(Wire.newMap().also { if (leader != null) it.put("capataz", leader) })

    private fun commands(version: OrderVersion, orders: List<Order>): ObjectNode {
        val map = Wire.newMap().put("vara", version.packed)
        val list = map.putArray("ordenes")
        for (order in orders) {
            val node = list.addObject()
            when (order) {
                is Order.Start -> node.put("orden", "run")
                is Order.Stop -> node.put("orden", "stop")
                is Order.Forget -> node.put("orden", "clear")
            }
            node.put("tarea", order.attempt.task.toString()).put("intento", order.attempt.number)
            if (order is Order.Stop) node.put("graciaS", order.graceS)
        }
        return map
    }
}
