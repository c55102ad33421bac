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

/** The messages between workers and controllers. */
object WorkerProtocol {
    private val taskStates = mapOf(
        "pulling" to TaskState.FETCHING,
        "waiting" to TaskState.WAITING,
        "running" to TaskState.RUNNING,
        "flushing" to TaskState.SAVING,
        "exited" to TaskState.EXITED,
    )

    private val exitReasons = mapOf(
        "done" to ExitReason.DONE,
        "halted" to ExitReason.STOPPED,
        "error" to ExitReason.ERROR,
        "no_room" to ExitReason.NO_ROOM,
        "in_use" to ExitReason.BUSY,
        "unknown" to ExitReason.UNKNOWN,
        "peers" to ExitReason.PEERS_MISSING,
        "alone" to ExitReason.PEERS_MISSING,
    )

    /** Decodes a worker's heartbeat; throws [MalformedMessageException] if it violates the protocol. */
    fun heartbeat(body: ByteArray): Heartbeat {
        val map = MessageCodec.decodeMap(body)
        return Heartbeat(
            machine = MachineId(map.requiredName("burro")),
            address = map.requiredText("addr"),
            type = map.requiredName("hornada"),
            zone = map.requiredName("comarca"),
            spot = map.requiredBoolean("prestados"),
            incarnation = map.requiredLong("jornada"),
            sequenceNumber = map.requiredLong("folio"),
            token = FencingToken(map.requiredLong("vara")),
            preemptionNoticeS = map.optionalDouble("avisoS"),
            tasks = map.requiredList("tareas").map(::taskStatus),
        )
    }

    private fun taskStatus(node: JsonNode): TaskStatus {
        val state = node.requiredEnum("estado", taskStates)
        return TaskStatus(
            AttemptId(taskId(node.requiredText("tarea")), node.requiredLong("intento")),
            state,
            if (state == TaskState.EXITED) exitReason(node) else null,
            saved = node.optionalField("kept")?.booleanValue() ?: false,
        )
    }

    /** Returns null if the reason is missing or this version doesn't know it. */
    private fun exitReason(node: JsonNode): ExitReason? = exitReasons[node.optionalText("motivo")]

    /** Parses a task id such as `j-000412/3`: the job's id and the task's index in the job. */
    private fun taskId(text: String): TaskId {
        val slash = text.lastIndexOf('/')
        val index = if (slash < 0) null else text.substring(slash + 1).toIntOrNull()
        if (index == null) throw MalformedMessageException("tarea must be of the form j-000412/3, but is ${text.take(MAX_QUOTED_LENGTH)}")
        return TaskId(JobId(text.substring(0, slash)), index)
    }

    /** Encodes the leader's response to a heartbeat; the response renews the worker's lease. */
    fun heartbeatResponse(token: FencingToken, commands: List<WorkerCommand>): ByteArray = MessageCodec.encode(commands(token, commands))

    /** Encodes commands sent in a request of their own, not in a heartbeat's response; a worker of another [incarnation] rejects them. */
    fun directCommands(token: FencingToken, incarnation: Long, commands: List<WorkerCommand>): ByteArray =
        MessageCodec.encode(commands(token, commands).put("jornada", incarnation))

    /** Encodes the response that redirects a worker to the controller [member], or to any other controller if [member] is null. */
    fun redirect(member: String?): ByteArray {
        val map = MessageCodec.newMap()
        if (member != null) map.put("capataz", member)
        return MessageCodec.encode(map)
    }

    private fun commands(token: FencingToken, commands: List<WorkerCommand>): ObjectNode {
        val map = MessageCodec.newMap().put("vara", token.packed)
        val list = map.putArray("ordenes")
        commands.forEach { putCommand(list.addObject(), it) }
        return map
    }

    private fun putCommand(node: ObjectNode, command: WorkerCommand) {
        when (command) {
            is WorkerCommand.Start -> node.put("orden", "run")
            is WorkerCommand.Stop -> node.put("orden", "stop")
            is WorkerCommand.Forget -> node.put("orden", "clear")
        }
        node.put("tarea", command.attempt.task.toString()).put("intento", command.attempt.number)
        if (command is WorkerCommand.Stop) node.put("graciaS", command.graceS)
    }
}
