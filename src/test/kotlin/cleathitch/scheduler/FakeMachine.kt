package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand

/**
 * A worker on a machine: keeps its incarnation, the newest fencing token received and its tasks between heartbeats. Its
 * heartbeats are copies of [template] with the current state.
 */
class FakeMachine(private val template: Heartbeat) {
    private var incarnation = template.incarnation
    private var sequenceNumber = 1L
    private var token = FencingToken.NONE
    private val tasks = LinkedHashMap<AttemptId, TaskStatus>()

    val id = template.machine
    val attempts: Set<AttemptId> get() = tasks.keys

    /** Creates the next heartbeat, with an incremented sequence number. */
    fun heartbeat() =
        template.copy(incarnation = incarnation, sequenceNumber = ++sequenceNumber, token = token, tasks = tasks.values.toList())

    /** Executes a direct call, unless it names another incarnation or an older fencing token than the newest received. */
    fun receive(call: Effect.SendCommands) {
        if (call.incarnation == incarnation) execute(call.token, call.commands)
    }

    fun receive(answer: Effect.AnswerHeartbeat) = execute(answer.token, answer.commands)

    fun exit(attempt: AttemptId, reason: ExitReason? = ExitReason.DONE) {
        tasks[attempt] = TaskStatus(attempt, TaskState.EXITED, reason)
    }

    fun completeTasks() = tasks.keys.toList().forEach { exit(it) }

    fun dropTasks() = tasks.clear()

    /** Expires the worker's lease: kills its tasks and begins a new incarnation. */
    fun expireLease() {
        dropTasks()
        incarnation++
    }

    private fun execute(newToken: FencingToken, commands: List<WorkerCommand>) {
        if (newToken < token) return
        token = newToken
        for (command in commands) {
            val attempt = command.attempt
            when (command) {
                is WorkerCommand.Start -> tasks.putIfAbsent(attempt, TaskStatus(attempt, TaskState.RUNNING))
                is WorkerCommand.Stop -> if (tasks[attempt]?.state == TaskState.RUNNING) exit(attempt, ExitReason.STOPPED)
                is WorkerCommand.Forget -> tasks.remove(attempt)
            }
        }
    }
}
