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

/** The worker process on a rented machine. It sends heartbeats, executes commands, and discards its tasks when its lease expires. */
class SimulatedWorker(private val cluster: SimulatedCluster, val id: MachineId, private val offer: Offer) {
    private val events = cluster.events
    private val random = cluster.random
    private val nowMs get() = events.nowMs
    private val leaseMs = cluster.deployment.workerLeaseS * 1000

    private var incarnation = 1L
    private var sequenceNumber = 0L
    private var token = FencingToken.NONE
    private val tasks = LinkedHashMap<AttemptId, SimulatedTask>()
    private var leaseStartMs = nowMs
    private var controller = cluster.randomController()
    private var hangingUntilMs = 0L
    private var repliesLostUntilMs = 0L
    private var heartbeatsLostUntilMs = 0L

    val zone get() = offer.zone
    val spot get() = offer.spot

    private val isHanging get() = nowMs < hangingUntilMs
    private val losesReplies get() = nowMs < repliesLostUntilMs
    private val losesHeartbeats get() = nowMs < heartbeatsLostUntilMs
    private val hasExpiredLease get() = nowMs - leaseStartMs > leaseMs
    private val partitionRemainingMs get() = cluster.network.partitionRemainingMs(zone)

    val isReachable get() = !isHanging && !losesReplies && !losesHeartbeats

    val cpusUsed get() = tasks.values.filter { !it.hasExited }.sumOf { specOf(it.id.task.job).cpus }

    fun cpusUsedBy(job: JobId) = tasks.values.count { it.id.task.job == job && !it.hasExited } * specOf(job).cpus

    fun isAssigned(task: TaskId) = tasks.values.any { it.id.task == task && !it.hasExited }

    /** Whether the worker has tasks of [job], including exited ones that it has not been told to forget. */
    fun hasTasksOf(job: JobId) = tasks.keys.any { it.task.job == job }

    /**
     * The tasks that run on this machine. When the lease expires, the machine's tasks are killed even if the worker process hangs
     * and cannot kill them itself.
     */
    fun runningTasks(): List<TaskId> = if (hasExpiredLease) emptyList() else tasks.values.filter { it.isRunning(nowMs) }.map { it.id.task }

    fun heartbeatPeriodically() {
        if (cluster.cloud.machines[id] !== this) return
        if (!isHanging) {
            advance()
            sendHeartbeat()
        }
        events.schedule((cluster.deployment.heartbeatPeriodS * 1000 * random.nextDouble(0.75, 1.25)).toLong(), ::heartbeatPeriodically)
    }

    fun hang(maxMs: Long = DEFAULT_MAX_HANG_MS) {
        hangingUntilMs = nowMs + random.nextLong(maxMs)
    }

    /** Fails the running tasks, and returns the heartbeat that shows this. */
    fun failTasks(): Heartbeat {
        advance()
        tasks.values.forEach { it.fail() }
        return heartbeat()
    }

    /** Drops answers and commands sent to this machine, while its heartbeats still arrive. */
    fun loseReplies(untilMs: Long) {
        repliesLostUntilMs = untilMs
    }

    /** Drops the heartbeats of this machine, while direct calls still reach it. */
    fun loseHeartbeats(untilMs: Long) {
        heartbeatsLostUntilMs = untilMs
    }

    /** Ends the connection faults of this machine, except a permanent loss of replies. */
    fun restoreConnections() {
        heartbeatsLostUntilMs = 0
        if (repliesLostUntilMs != FOREVER) repliesLostUntilMs = 0
    }

    /** Restarts the machine without a delay. Its tasks and its fencing token are lost. */
    fun restart() {
        tasks.clear()
        incarnation++
        sequenceNumber = 0
        token = FencingToken.NONE
        leaseStartMs = nowMs
        sendHeartbeat()
    }

    /** Handles a direct call with commands. Returns null if the caller gets no answer. */
    fun receive(call: Effect.SendCommands): Heartbeat? {
        if (losesReplies) return null
        val waitMs = maxOf(hangingUntilMs - nowMs, partitionRemainingMs)
        if (waitMs > 0) {
            // A hanging or partitioned machine executes the commands when it is reachable again.
            events.schedule(waitMs + 1) { cluster.cloud.machines[id]?.receive(call) }
            return null
        }
        advance()
        if (call.token >= token && call.incarnation == incarnation) {
            token = call.token
            call.commands.forEach(::execute)
        }
        return heartbeat()
    }

    /** Handles a direct call without commands. Returns null if the caller gets no answer. */
    fun answerProbe(): Heartbeat? {
        if (losesReplies || isHanging || partitionRemainingMs > 0) return null
        advance()
        return heartbeat()
    }

    private fun specOf(job: JobId) = cluster.users.submitted.getValue(job).spec

    /** Advances the tasks to the current time, or discards them if the lease has expired. */
    private fun advance() {
        if (hasExpiredLease) {
            tasks.clear()
            incarnation++
            leaseStartMs = nowMs
        }
        for (task in tasks.values) if (task.advance(nowMs)) cluster.users.recordCompletion(task.id.task)
    }

    private fun heartbeat() = Heartbeat(
        id, "x", offer.type, offer.zone, offer.spot, incarnation, ++sequenceNumber, token, null, tasks.values.map { it.status() },
    )

    private fun sendHeartbeat() {
        val heartbeat = heartbeat()
        if (losesHeartbeats) return
        val sentMs = nowMs
        val target = controller
        var isAnswered = false
        if (!cluster.faultsEnded && random.nextDouble() < cluster.faults.delayedHeartbeatDuplicates) sendDelayedDuplicate(heartbeat)
        cluster.network.send(partitionRemainingMs) {
            target.receive(heartbeat) { newToken, commands ->
                cluster.network.send(partitionRemainingMs) {
                    if (!isAnswered && isAnswerAccepted(heartbeat, sentMs)) {
                        isAnswered = true
                        receiveAnswer(newToken, commands, sentMs)
                    }
                }
            }
        }
        events.schedule(ANSWER_TIMEOUT_MS) { if (!isAnswered) controller = cluster.randomController() }
    }

    /** Delivers a duplicate of [heartbeat] after a delay, to the controller that leads by then. Its answer is dropped. */
    private fun sendDelayedDuplicate(heartbeat: Heartbeat) {
        val delayMs = random.nextLong(1000, (cluster.deployment.workerLeaseS * 2000).toLong())
        events.schedule(delayMs) {
            cluster.leader?.handle(Input.HeartbeatReceived(cluster.pendingRequests.newRequestId(), heartbeat))
        }
    }

    /**
     * Whether the worker accepts an answer to [heartbeat], which was sent at [sentMs]. It drops an answer that is too old or meant for
     * an earlier incarnation, and every answer while it hangs or loses replies or once its machine is terminated.
     */
    private fun isAnswerAccepted(heartbeat: Heartbeat, sentMs: Long) = !losesReplies &&
        cluster.cloud.machines[id] === this &&
        heartbeat.incarnation == incarnation &&
        nowMs - sentMs < MAX_ANSWER_AGE_MS &&
        !isHanging

    /**
     * Renews the lease and executes [commands], unless [newToken] is older than the worker's token. The lease runs from [sentMs], when
     * the heartbeat was sent, and not from when the answer arrived.
     */
    private fun receiveAnswer(newToken: FencingToken, commands: List<WorkerCommand>, sentMs: Long) {
        if (newToken < token) return
        advance()
        token = newToken
        leaseStartMs = maxOf(leaseStartMs, sentMs)
        commands.forEach(::execute)
    }

    private fun execute(command: WorkerCommand) {
        when (command) {
            is WorkerCommand.Start -> if (command.attempt !in tasks) startTask(command.attempt)
            is WorkerCommand.Stop -> tasks[command.attempt]?.stop()
            is WorkerCommand.Forget -> if (tasks[command.attempt]?.hasExited == true) tasks.remove(command.attempt)
        }
    }

    private fun startTask(attempt: AttemptId) {
        val imageReadyAtMs = nowMs + random.nextLong(0, MAX_IMAGE_FETCH_MS)
        val runMs = when {
            specOf(attempt.task.job).kind == JobKind.SERVICE -> null
            // An earlier attempt has already produced the task's result, so this one completes at once.
            cluster.users.isCompleted(attempt.task) -> 0L
            cluster.faults.shortTasks -> random.nextLong(100, 1500)
            else -> random.nextLong(2000, 15_000)
        }
        tasks[attempt] = SimulatedTask(attempt, imageReadyAtMs, endsAtMs = runMs?.let { imageReadyAtMs + it })
        cluster.users.recordStart(attempt.task)
        cluster.invariants.checkStart(attempt.task, this)
    }

    companion object {
        const val FOREVER = Long.MAX_VALUE
        private const val DEFAULT_MAX_HANG_MS = 40_000L
        private const val ANSWER_TIMEOUT_MS = 1000L
        private const val MAX_ANSWER_AGE_MS = 4000L
        private const val MAX_IMAGE_FETCH_MS = 4000L
    }
}
