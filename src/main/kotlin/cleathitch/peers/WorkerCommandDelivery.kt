package cleathitch.peers

import cleathitch.http.ServiceResult
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.MachineId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/**
 * Sends the leader's commands to workers: through the follower that forwards the worker's heartbeats, in one request for many
 * workers, or directly. Connections to all workers would cost the leader more than all its other work.
 *
 * Followers only relay commands. A delivery that a follower delays is as harmless as one that the network delays: workers check the
 * incarnation and the fencing token, and followers check the term. A follower's result is ignored if it arrives
 * [resultTimeoutMs] or more after the command was sent: such a late result doesn't show that the machine is still alive. Confined to
 * the leader's event loop; results are passed to [enqueue].
 */
class WorkerCommandDelivery(
    private val routes: WorkerCommandRoutes,
    private val resultTimeoutMs: Long,
    private val nowMs: () -> Long,
    private val enqueue: (Input) -> Unit,
) {
    private class PendingCommand(val machine: MachineId, val sentMs: Long)

    private val pending = LinkedHashMap<Long, PendingCommand>()
    private var lastId = 0L

    /** Incremented with each probe, so that probes rotate among the followers and the direct route. */
    private var nextProbeRoute = 0

    /** Starts to send [commands] to their workers, in coroutines of [scope]. */
    fun deliver(scope: CoroutineScope, commands: List<Effect.ToWorker>) {
        if (commands.isEmpty()) return
        dropExpired()
        val followers = routes.reachableFollowers()
        for ((follower, routeCommands) in commands.groupBy { followerFor(it, followers) }) {
            if (follower == null) {
                routeCommands.forEach { sendDirectly(scope, it) }
            } else {
                MessageParts.split(routeCommands, MAX_WORKERS_PER_REQUEST, ::estimatedBytes).forEach { part ->
                    scope.launch { sendViaFollower(scope, follower, part) }
                }
            }
        }
    }

    /** Handles the results of commands that a follower delivered. */
    fun onDeliveryResults(results: List<DeliveryResultMessage>) {
        dropExpired()
        for (result in results) {
            val command = pending.remove(result.id) ?: continue
            if (command.machine == result.heartbeat.machine) enqueue(Input.ProbeAnswered(result.heartbeat.toHeartbeat()))
        }
    }

    /**
     * The follower that is to deliver [command]; null for direct delivery. Probes rotate among all routes, because a machine whose
     * heartbeats are overdue may have lost the connection to its usual follower.
     */
    private fun followerFor(command: Effect.ToWorker, followers: List<String>): String? = when (command) {
        is Effect.SendCommands -> routes.followerOf(command.machine)?.takeIf { it in followers }
        is Effect.Probe -> followers.getOrNull(nextProbeRoute++ % (followers.size + 1))
    }

    private fun estimatedBytes(command: Effect.ToWorker): Int = when (command) {
        is Effect.Probe -> BYTES_PER_WORKER + MessageParts.textBytes(command.address)
        is Effect.SendCommands ->
            BYTES_PER_WORKER + MessageParts.textBytes(command.address) +
                command.commands.sumOf { BYTES_PER_COMMAND + MessageParts.textBytes(it.attempt.task.job.text) }
    }

    private suspend fun sendViaFollower(scope: CoroutineScope, follower: String, commands: List<Effect.ToWorker>) {
        val messages = commands.map(::register)
        if (routes.sendToFollower(follower, messages)) return
        // The commands may have been delivered all the same, but repeating one with the same fencing token is safe.
        messages.forEach { pending.remove(it.id) }
        commands.forEach { sendDirectly(scope, it) }
    }

    private fun register(command: Effect.ToWorker): DeliveryMessage {
        val id = ++lastId
        pending[id] = PendingCommand(command.machine, nowMs())
        return when (command) {
            is Effect.SendCommands -> DeliveryMessage.of(id, command)
            is Effect.Probe -> DeliveryMessage.of(id, command)
        }
    }

    private fun sendDirectly(scope: CoroutineScope, command: Effect.ToWorker) = scope.launch {
        val input = when (val result = routes.sendToWorker(command)) {
            is ServiceResult.Success -> Input.ProbeAnswered(result.value)
            is ServiceResult.Failure -> Input.DirectCallUnanswered(command.machine)
        }
        enqueue(input)
    }

    private fun dropExpired() {
        val expiredMs = nowMs() - resultTimeoutMs
        pending.values.removeIf { it.sentMs <= expiredMs }
    }

    private companion object {
        const val MAX_WORKERS_PER_REQUEST = 50
        const val BYTES_PER_WORKER = 64
        const val BYTES_PER_COMMAND = 48
    }
}
