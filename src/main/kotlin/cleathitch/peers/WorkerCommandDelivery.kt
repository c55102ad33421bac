package cleathitch.peers

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.MachineId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/**
 * Sends the leader's commands to workers: through the follower to which the worker reports, in one request for many
 * workers, or directly. A connection to each worker would cost the leader more than all its other work.
 *
 * A follower only carries what the leader decided; term, session and version make a late delivery harmless, as they do
 * on a slow network. A result counts only while its command is open, so that a late one shows nothing about the machine.
 */
class WorkerCommandDelivery(
    private val routes: WorkerCommandRoutes,
    private val openMs: Long,
    private val nowMs: () -> Long,
    private val post: (Input) -> Unit,
) {
    private class Open(val machine: MachineId, val sentMs: Long)

    private val open = LinkedHashMap<Long, Open>()
    private var lastId = 0L
    private var turn = 0

    /** Sends [commands] to their workers. */
    fun deliver(scope: CoroutineScope, commands: List<Effect.ToWorker>) {
        if (commands.isEmpty()) return
        forgetOld()
        val followers = routes.reachableFollowers()
        for ((carrier, share) in commands.groupBy { carrierOf(it, followers) }) {
            if (carrier == null) {
                share.forEach { sendDirectly(scope, it) }
            } else {
                share.chunked(MAX_PER_REQUEST).forEach { part -> scope.launch { sendThrough(scope, carrier, part) } }
            }
        }
    }

    /** A follower tells the answers to commands that it delivered. */
    fun answered(results: List<DeliveryResultMessage>) {
        forgetOld()
        for (result in results) {
            val command = open.remove(result.id) ?: continue
            if (command.machine == result.report.machine) post(Input.ProbeAnswered(result.report.toHeartbeat()))
        }
    }

    /** Null is this node itself. A machine that is only asked may have lost its usual way, so questions take turns. */
    private fun carrierOf(command: Effect.ToWorker, followers: List<String>): String? = when (command) {
        is Effect.SendCommands -> routes.followerOf(command.machine)?.takeIf { it in followers }
        is Effect.Probe -> followers.getOrNull(turn++ % (followers.size + 1))
    }

    private suspend fun sendThrough(scope: CoroutineScope, follower: String, commands: List<Effect.ToWorker>) {
        val messages = commands.map { command ->
            val id = ++lastId
            open[id] = Open(command.machine, nowMs())
            when (command) {
                is Effect.SendCommands -> DeliveryMessage.of(id, command)
                is Effect.Probe -> DeliveryMessage.of(id, command)
            }
        }
        if (routes.toFollower(follower, messages)) return
        // Whether they were delivered isn't known, but every command may be repeated under its version.
        messages.forEach { open.remove(it.id) }
        commands.forEach { sendDirectly(scope, it) }
    }

    private fun sendDirectly(scope: CoroutineScope, command: Effect.ToWorker) = scope.launch {
        val report = routes.toWorker(command)
        post(if (report == null) Input.DirectCallUnanswered(command.machine) else Input.ProbeAnswered(report))
    }

    private fun forgetOld() {
        val oldestMs = nowMs() - openMs
        open.values.removeIf { it.sentMs <= oldestMs }
    }

    private companion object {
        const val MAX_PER_REQUEST = 50
    }
}
