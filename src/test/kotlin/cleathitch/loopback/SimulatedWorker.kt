package cleathitch.loopback

import cleathitch.protocol.MessageCodec
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/**
 * The worker of one machine: sends heartbeats to the controllers, executes the commands in their responses and follows their
 * redirects. A task runs for [taskMs], and longer while [isHeld] returns true for its id. [close] stops the heartbeats.
 */
class SimulatedWorker(
    private val machine: String,
    private val address: String,
    private val controllers: List<ControllerAddress>,
    private val taskMs: Long = 300,
    private val isHeld: (task: String) -> Boolean = { false },
) : AutoCloseable {
    private data class Attempt(val task: String, val number: Long)

    /**
     * The earliest end of each attempt that has not been cleared. Like all state of this class that is not thread-safe, it is
     * confined to the heartbeat thread.
     */
    private val attemptEndsMs = LinkedHashMap<Attempt, Long>()
    private var fencingToken = 0L
    private var sequenceNumber = 0L
    private var controllerIndex = 0
    private val startsByTask = ConcurrentHashMap<String, Int>()

    @Volatile
    private var isOpen = true
    private val heartbeats = thread(isDaemon = true) { runHeartbeats() }

    /** The number of starts of each task, by task id. */
    val starts: Map<String, Int> get() = startsByTask

    private fun runHeartbeats() {
        while (isOpen) {
            val reply = LoopbackHttp.callOrNull(controllers[controllerIndex].port, "POST", "/agent/beat", heartbeat())
            when (reply?.status) {
                200 -> if (reply.body!!.get("vara").longValue() >= fencingToken) execute(reply.body)
                421 -> controllerIndex = redirectTarget(reply.body?.get("capataz")?.textValue())
                else -> controllerIndex = nextController()
            }
            Thread.sleep(HEARTBEAT_PERIOD_MS)
        }
    }

    private fun redirectTarget(member: String?) = controllers.indexOfFirst { it.member == member }.takeIf { it >= 0 } ?: nextController()

    private fun nextController() = (controllerIndex + 1) % controllers.size

    private fun heartbeat(): ObjectNode {
        val heartbeat = MessageCodec.newMap().put("burro", machine).put("addr", address).put("hornada", "m").put("comarca", "z")
            .put("prestados", false).put("jornada", 1).put("folio", ++sequenceNumber).put("vara", fencingToken)
        val tasks = heartbeat.putArray("tareas")
        for ((attempt, endMs) in attemptEndsMs) {
            val task = tasks.addObject().put("tarea", attempt.task).put("intento", attempt.number)
            if (nowMs() < endMs ||
                isHeld(attempt.task)
            ) {
                task.put("estado", "running")
            } else {
                task.put("estado", "exited").put("motivo", "done")
            }
        }
        return heartbeat
    }

    private fun execute(reply: JsonNode) {
        fencingToken = reply.get("vara").longValue()
        for (command in reply.get("ordenes")) {
            val attempt = Attempt(command.get("tarea").textValue(), command.get("intento").longValue())
            when (command.get("orden").textValue()) {
                "run" -> start(attempt)
                "clear" -> attemptEndsMs.remove(attempt)
                else -> attemptEndsMs.replace(attempt, 0L)
            }
        }
    }

    private fun start(attempt: Attempt) {
        if (attempt in attemptEndsMs) return
        attemptEndsMs[attempt] = nowMs() + taskMs
        startsByTask.merge(attempt.task, 1, Int::plus)
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    override fun close() {
        isOpen = false
        heartbeats.join()
    }

    private companion object {
        const val HEARTBEAT_PERIOD_MS = 200L
    }
}
