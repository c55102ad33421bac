package cleathitch.peers

import cleathitch.core.Command
import cleathitch.core.Effect
import cleathitch.core.MachineId
import cleathitch.core.Report
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** The ways on which commands go to workers. */
interface CommandRoutes {
    /** Followers that can be reached now. */
    fun reachableFollowers(): List<String>

    /** The follower to which the machine reports, if it is known. */
    fun followerOf(machine: MachineId): String?

    /** True if the follower has taken the commands and will deliver them. */
    suspend fun toFollower(follower: String, commands: List<DirectMessage>): Boolean

    /** The report with which the worker answered; null if it gave no answer. */
    suspend fun toWorker(command: Effect.ToWorker): Report?
}

/**
 * Sends the leader's commands to workers: through the follower to which the worker reports, in one request for many
 * workers, or directly. A connection to each worker would cost the leader more than all its other work.
 *
 * A follower only carries what the leader decided; term, session and version make a late delivery harmless, as they do
 * on a slow network. A result counts only while its command is open, so that a late one shows nothing about the machine.
 */
class CommandDelivery(
    private val routes: CommandRoutes,
    private val openMs: Long,
    private val nowMs: () -> Long,
    private val post: (Command) -> Unit,
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
                share.chunked(MOST_PER_REQUEST).forEach { part -> scope.launch { sendThrough(scope, carrier, part) } }
            }
        }
    }

    /** A follower tells the answers to commands that it delivered. */
    fun answered(results: List<DirectResultMessage>) {
        forgetOld()
        for (result in results) {
            val command = open.remove(result.id) ?: continue
            if (command.machine == result.report.machine) post(Command.Inspected(result.report.toReport()))
        }
    }

    /** Null is this node itself. A machine that is only asked may have lost its usual way, so questions take turns. */
    private fun carrierOf(command: Effect.ToWorker, followers: List<String>): String? = when (command) {
        is Effect.Push -> routes.followerOf(command.machine)?.takeIf { it in followers }
        is Effect.Inspect -> followers.getOrNull(turn++ % (followers.size + 1))
    }

    private suspend fun sendThrough(scope: CoroutineScope, follower: String, commands: List<Effect.ToWorker>) {
        val messages = commands.map { command ->
            val id = ++lastId
            open[id] = Open(command.machine, nowMs())
            when (command) {
                is Effect.Push -> DirectMessage.of(id, command)
                is Effect.Inspect -> DirectMessage.of(id, command)
            }
        }
        if (routes.toFollower(follower, messages)) return
        // Whether they were delivered isn't known, but every command may be repeated under its version.
        messages.forEach { open.remove(it.id) }
        commands.forEach { sendDirectly(scope, it) }
    }

    private fun sendDirectly(scope: CoroutineScope, command: Effect.ToWorker) = scope.launch {
        val report = routes.toWorker(command)
        post(if (report == null) Command.DirectUnanswered(command.machine) else Command.Inspected(report))
    }

    private fun forgetOld() {
        val oldestMs = nowMs() - openMs
        open.values.removeIf { it.sentMs <= oldestMs }
    }

    private companion object {
        const val MOST_PER_REQUEST = 50
    }
}
