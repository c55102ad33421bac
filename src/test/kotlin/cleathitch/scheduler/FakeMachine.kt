package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand

/** What a worker keeps between its heartbeats: its incarnation, the newest fencing token, and its tasks. Starts with [template]. */
class FakeMachine(private val template: Heartbeat) {
    private var incarnation = template.incarnation
    private var sequenceNumber = 1L
    private var token = FencingToken.NONE
    private val tasks = LinkedHashMap<AttemptId, TaskStatus>()

    val id = template.machine
    val attempts: Set<AttemptId> get() = tasks.keys

    /** Its next heartbeat. */
    fun heartbeat() =
        template.copy(incarnation = incarnation, sequenceNumber = ++sequenceNumber, token = token, tasks = tasks.values.toList())

    /** Executes a direct call, unless a newer token or incarnation shuts it out. */
    fun receive(call: Effect.SendCommands) {
        if (call.incarnation == incarnation) execute(call.token, call.commands)
    }

    fun receive(answer: Effect.AnswerHeartbeat) = execute(answer.token, answer.commands)

    fun exit(attempt: AttemptId, reason: ExitReason = ExitReason.DONE) {
        tasks[attempt] = TaskStatus(attempt, TaskState.EXITED, reason)
    }

    fun completeTasks() = tasks.keys.toList().forEach { exit(it) }

    fun dropTasks() = tasks.clear()

    /** Its lease expires: its tasks are killed, and a new incarnation begins. */
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
