package cleathitch.scheduler.simulation

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.WorkerCommand

/** The worker process of one rented machine: sends heartbeats, executes commands, and drops its tasks when its lease expires. */
class SimulatedWorker(private val cluster: SimulatedCluster, val id: MachineId, private val offer: Offer) {
    private val events = cluster.events
    private val random = cluster.random
    private val nowMs get() = events.nowMs
    private val leaseMs = cluster.deployment.leaseS * 1000

    private var incarnation = 1L
    private var sequenceNumber = 0L
    private var token = FencingToken.NONE
    private val tasks = LinkedHashMap<AttemptId, SimulatedTask>()
    private var leaseFromMs = nowMs
    private var controller = cluster.randomController()
    private var hangsUntilMs = 0L
    private var missesRepliesUntilMs = 0L
    private var heartbeatsLostUntilMs = 0L

    val zone get() = offer.zone
    val spot get() = offer.spot

    private val isHanging get() = nowMs < hangsUntilMs
    private val missesReplies get() = nowMs < missesRepliesUntilMs
    private val heartbeatsAreLost get() = nowMs < heartbeatsLostUntilMs
    private val hasExpiredLease get() = nowMs - leaseFromMs > leaseMs
    private val heldMs get() = cluster.network.heldMs(zone)

    val isReachable get() = !isHanging && !missesReplies && !heartbeatsAreLost

    val cpusUsed get() = tasks.values.filter { !it.hasExited }.sumOf { specOf(it.id.task.job).cpus }

    fun cpusUsedBy(job: JobId) = tasks.values.count { it.id.task.job == job && !it.hasExited } * specOf(job).cpus

    fun isAssigned(task: TaskId) = tasks.values.any { it.id.task == task && !it.hasExited }

    /** Whether it knows tasks of [job], exited ones included. */
    fun knows(job: JobId) = tasks.keys.any { it.task.job == job }

    /** What runs here. With the end of its lease a machine's tasks are killed, also when the worker hangs and can't do so itself. */
    fun runningTasks(): List<TaskId> = if (hasExpiredLease) emptyList() else tasks.values.filter { it.isRunning(nowMs) }.map { it.id.task }

    fun start() {
        if (cluster.cloud.machines[id] !== this) return
        if (!isHanging) {
            advance()
            sendHeartbeat()
        }
        events.after((cluster.deployment.reportS * 1000 * random.nextDouble(0.75, 1.25)).toLong(), ::start)
    }

    fun hang(maxMs: Long = USUAL_MAX_HANG_MS) {
        hangsUntilMs = nowMs + random.nextLong(maxMs)
    }

    /** Heartbeats arrive, while answers and commands don't reach this machine. */
    fun loseReplies(untilMs: Long) {
        missesRepliesUntilMs = untilMs
    }

    /** Heartbeats reach no controller, while direct calls reach this machine. */
    fun loseHeartbeats(untilMs: Long) {
        heartbeatsLostUntilMs = untilMs
    }

    /** Ends the faults of its connections, except the loss of replies for good. */
    fun restoreConnections() {
        heartbeatsLostUntilMs = 0
        if (missesRepliesUntilMs != FOREVER) missesRepliesUntilMs = 0
    }

    /** The machine restarts within a fraction of a second: its tasks are gone, and its fencing token too. */
    fun restart() {
        tasks.clear()
        incarnation++
        sequenceNumber = 0
        token = FencingToken.NONE
        leaseFromMs = nowMs
        sendHeartbeat()
    }

    /** A direct call with commands; null if the caller gets no answer. */
    fun receive(call: Effect.SendCommands): Heartbeat? {
        if (missesReplies) return null
        val waitMs = maxOf(hangsUntilMs - nowMs, heldMs)
        if (waitMs > 0) {
            // A hanging or partitioned machine executes the commands once it resumes.
            events.after(waitMs + 1) { cluster.cloud.machines[id]?.receive(call) }
            return null
        }
        advance()
        if (call.token >= token && call.incarnation == incarnation) {
            token = call.token
            call.commands.forEach(::execute)
        }
        return heartbeat()
    }

    /** A direct call without commands; null if the caller gets no answer. */
    fun answerProbe(): Heartbeat? {
        if (missesReplies || isHanging || heldMs > 0) return null
        advance()
        return heartbeat()
    }

    private fun specOf(job: JobId) = cluster.users.submitted.getValue(job).spec

    /** Brings the tasks up to the present time. */
    private fun advance() {
        if (hasExpiredLease) {
            tasks.clear()
            incarnation++
            leaseFromMs = nowMs
        }
        for (task in tasks.values) if (task.advance(nowMs)) cluster.users.recordCompletion(task.id.task)
    }

    private fun heartbeat() = Heartbeat(
        id, "x", offer.type, offer.zone, offer.spot, incarnation, ++sequenceNumber, token, null, tasks.values.map { it.status() },
    )

    private fun sendHeartbeat() {
        val heartbeat = heartbeat()
        if (heartbeatsAreLost) return
        val sentMs = nowMs
        val target = controller
        var isAnswered = false
        if (!cluster.isCalm && random.nextDouble() < cluster.faults.lateHeartbeatCopies) sendLateCopy(heartbeat)
        cluster.network.send(heldMs) {
            target.receive(heartbeat) { newToken, commands ->
                cluster.network.send(heldMs) {
                    if (!isAnswered && accepts(heartbeat, sentMs)) {
                        isAnswered = true
                        receiveAnswer(newToken, commands, sentMs)
                    }
                }
            }
        }
        events.after(ANSWER_TIMEOUT_MS) { if (!isAnswered) controller = cluster.randomController() }
    }

    /** Whoever leads when the copy arrives may receive it, and nobody waits for the answer. */
    private fun sendLateCopy(heartbeat: Heartbeat) {
        val delayMs = random.nextLong(1000, (cluster.deployment.leaseS * 2000).toLong())
        events.after(delayMs) {
            cluster.leader?.handle(Input.HeartbeatReceived(cluster.pendingRequests.withoutAnswer(), heartbeat))
        }
    }

    /** Whether an answer to [heartbeat], sent at [sentMs], still reaches this incarnation in time. */
    private fun accepts(heartbeat: Heartbeat, sentMs: Long) = !missesReplies &&
        cluster.cloud.machines[id] === this &&
        heartbeat.incarnation == incarnation &&
        nowMs - sentMs < MAX_ANSWER_AGE_MS &&
        !isHanging

    /** The lease is renewed from the time at which the heartbeat was sent. */
    private fun receiveAnswer(newToken: FencingToken, commands: List<WorkerCommand>, sentMs: Long) {
        if (newToken < token) return
        advance()
        token = newToken
        leaseFromMs = maxOf(leaseFromMs, sentMs)
        commands.forEach(::execute)
    }

    private fun execute(command: WorkerCommand) {
        when (command) {
            is WorkerCommand.Start -> if (command.attempt !in tasks) launch(command.attempt)
            is WorkerCommand.Stop -> tasks[command.attempt]?.stop()
            is WorkerCommand.Forget -> if (tasks[command.attempt]?.hasExited == true) tasks.remove(command.attempt)
        }
    }

    private fun launch(attempt: AttemptId) {
        val imageAtMs = nowMs + random.nextLong(0, MAX_IMAGE_FETCH_MS)
        val runMs = when {
            specOf(attempt.task.job).kind == JobKind.SERVICE -> null
            // A repeated attempt finds the result of the first.
            cluster.users.isCompleted(attempt.task) -> 0L
            cluster.faults.shortTasks -> random.nextLong(100, 1500)
            else -> random.nextLong(2000, 15_000)
        }
        tasks[attempt] = SimulatedTask(attempt, imageAtMs, endsAtMs = runMs?.let { imageAtMs + it })
        cluster.users.recordStart(attempt.task)
        cluster.rules.checkStart(attempt.task, this)
    }

    companion object {
        const val FOREVER = Long.MAX_VALUE
        private const val USUAL_MAX_HANG_MS = 40_000L
        private const val ANSWER_TIMEOUT_MS = 1000L
        private const val MAX_ANSWER_AGE_MS = 4000L
        private const val MAX_IMAGE_FETCH_MS = 4000L
    }
}
