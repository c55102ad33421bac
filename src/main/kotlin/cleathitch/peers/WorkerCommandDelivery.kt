package cleathitch.peers

import cleathitch.http.ServiceResult
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.MachineId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/**
 * Sends the leader's commands to workers: through the follower that forwards the worker's heartbeats, in one request for many
 * workers, or directly. With a connection to each worker, the leader would spend more on connections than on all its other work.
 *
 * A follower only carries what the leader decided; term, incarnation and fencing token make a late delivery harmless, as on a
 * slow network. A result counts only while its command is pending, for [resultTimeoutMs]: a later one doesn't show that the
 * machine is alive now. Confined to the leader's event loop; results go to [post].
 */
class WorkerCommandDelivery(
    private val routes: WorkerCommandRoutes,
    private val resultTimeoutMs: Long,
    private val nowMs: () -> Long,
    private val post: (Input) -> Unit,
) {
    private class PendingCommand(val machine: MachineId, val sentMs: Long)

    private val pending = LinkedHashMap<Long, PendingCommand>()
    private var lastId = 0L

    /** Advances with each probe, so that probes alternate between the followers and this controller. */
    private var nextProbeRoute = 0

    /** Sends [commands] to their workers, in coroutines of [scope]. */
    fun deliver(scope: CoroutineScope, commands: List<Effect.ToWorker>) {
        if (commands.isEmpty()) return
        dropExpired()
        val followers = routes.reachableFollowers()
        for ((follower, share) in commands.groupBy { followerFor(it, followers) }) {
            if (follower == null) {
                share.forEach { sendDirectly(scope, it) }
            } else {
                share.chunked(MAX_COMMANDS_PER_REQUEST).forEach { part -> scope.launch { sendThrough(scope, follower, part) } }
            }
        }
    }

    /** Takes the results of commands that a follower delivered. */
    fun onDeliveryResults(results: List<DeliveryResultMessage>) {
        dropExpired()
        for (result in results) {
            val command = pending.remove(result.id) ?: continue
            if (command.machine == result.heartbeat.machine) post(Input.ProbeAnswered(result.heartbeat.toHeartbeat()))
        }
    }

    /**
     * The follower that delivers [command]; null if this controller does. Probes alternate between all routes, since a machine whose
     * heartbeats are overdue may have lost its usual one.
     */
    private fun followerFor(command: Effect.ToWorker, followers: List<String>): String? = when (command) {
        is Effect.SendCommands -> routes.followerOf(command.machine)?.takeIf { it in followers }
        is Effect.Probe -> followers.getOrNull(nextProbeRoute++ % (followers.size + 1))
    }

    private suspend fun sendThrough(scope: CoroutineScope, follower: String, commands: List<Effect.ToWorker>) {
        val messages = commands.map(::register)
        if (routes.toFollower(follower, messages)) return
        // They may have been delivered nevertheless, but every command may be repeated under its fencing token.
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
        val input = when (val result = routes.toWorker(command)) {
            is ServiceResult.Success -> Input.ProbeAnswered(result.value)
            is ServiceResult.Failure -> Input.DirectCallUnanswered(command.machine)
        }
        post(input)
    }

    private fun dropExpired() {
        val expiredMs = nowMs() - resultTimeoutMs
        pending.values.removeIf { it.sentMs <= expiredMs }
    }

    private companion object {
        const val MAX_COMMANDS_PER_REQUEST = 50
    }
}
