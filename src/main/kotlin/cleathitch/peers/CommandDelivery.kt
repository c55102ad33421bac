package cleathitch.peers

import cleathitch.core.Command
import cleathitch.core.Effect
import cleathitch.core.MachineId
import cleathitch.http.Address
import cleathitch.workers.WorkerClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** What the delivery of commands needs to know of the other nodes. */
interface Carriers {
    /** Followers that can be reached now. */
    fun alive(): List<String>

    /** The follower to which the machine reports, if it is known. */
    fun reportsTo(machine: MachineId): String?
    fun addressOf(follower: String): Address?
}

/**
 * Sends the leader's commands to workers: through the follower to which the worker reports, in one request for many
 * workers, or directly. A connection to each worker would cost the leader more than all its other work.
 *
 * A follower only carries what the leader decided; term, session and version make a late delivery harmless, as they do
 * on a slow network. A result counts only while its command is open, so that a late one shows nothing about the machine.
 */
class CommandDelivery(
    private val member: String,
    private val term: Long,
    private val workers: WorkerClient,
    private val peers: PeerClient,
    private val carriers: Carriers,
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
        val alive = carriers.alive()
        for ((carrier, share) in commands.groupBy { carrierOf(it, alive) }) {
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
    private fun carrierOf(command: Effect.ToWorker, alive: List<String>): String? = when (command) {
        is Effect.Push -> carriers.reportsTo(command.machine)?.takeIf { it in alive }
        is Effect.Inspect -> alive.getOrNull(turn++ % (alive.size + 1))
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
        val address = carriers.addressOf(follower)
        val reply = address?.let { peers.ask(it, PeerRequest.Deliver(member, term, messages), openMs / 4) }
        if (reply?.status == 200) return
        // Whether they were delivered isn't known, but every command may be repeated under its version.
        messages.forEach { open.remove(it.id) }
        commands.forEach { sendDirectly(scope, it) }
    }

    private fun sendDirectly(scope: CoroutineScope, command: Effect.ToWorker) = scope.launch {
        val report = when (command) {
            is Effect.Push -> workers.push(command)
            is Effect.Inspect -> workers.inspect(command.machine, command.addr)
        }
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
