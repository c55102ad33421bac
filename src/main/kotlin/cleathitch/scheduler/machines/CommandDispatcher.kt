package cleathitch.scheduler.machines

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.model.WorkerCommand
import java.util.TreeMap

/**
 * Sends commands to workers, in replies to heartbeats or by direct calls; each message with commands has a new fencing token.
 * Commands that depend on a log record are held back until the record is committed. Confined to the leader's event loop.
 */
internal class CommandDispatcher(
    private val context: SchedulerContext,
    term: Term,
    private val jobTable: JobTable,
    private val inventory: Inventory,
    private val decisionLog: DecisionLog,
    private val workerReconciler: WorkerReconciler,
    private val failureDetector: FailureDetector,
) {
    /** The lowest token of this term: a machine that reports this or a higher one has received a message of this leader. */
    val firstToken = FencingToken.first(term.revision)

    /** The newest token: that of the last message with commands, or the first one of a range that no message has used yet. */
    var token = firstToken
        private set

    /** Machines to which commands are pushed once a record is committed, by the index of the record. */
    private val pushesAwaitingCommit = HashMap<LogIndex, MutableSet<MachineId>>()

    /**
     * Attempts whose stop commands are sent once a record is committed, by the index of the record. The stop commands don't wait for
     * the machine's next heartbeat. Otherwise a task that is fetching its image could start after the user has received the reply to
     * the cancellation, and in an outage that begins before the heartbeat, running tasks would end only when the workers' leases
     * expire.
     */
    private val stopsAwaitingCommit = TreeMap<LogIndex, MutableList<Attempt>>()

    /** Machines whose stop commands may be sent now. Each call of [sendPendingStops] contacts only a limited number of them. */
    private val pendingStops = LinkedHashSet<MachineId>()

    /** Records the key-value store's revision after a commit, which makes a new range of tokens available. */
    fun recordRevision(revision: Long) {
        token = maxOf(token, FencingToken.first(revision))
    }

    /** Builds the reply to the machine's heartbeat, with the commands that are due for the machine. */
    fun replyTo(machine: Machine): HeartbeatDecision.Answer {
        val commands = commandsFor(machine)
        if (commands.isNotEmpty()) token = token.next()
        recordSent(machine, commands)
        pendingStops -= machine.id
        machine.recordReply(token)
        return HeartbeatDecision.Answer(token, commands)
    }

    /** Sends the machine the commands that are due, without waiting for its next heartbeat. */
    fun push(machine: Machine) {
        val address = machine.address ?: return
        if (machine.state == MachineState.STARTING) return
        val commands = commandsFor(machine)
        if (commands.isEmpty()) return
        token = token.next()
        recordSent(machine, commands)
        context.emit(Effect.SendCommands(machine.id, address, machine.incarnation, token, commands))
    }

    /** Pushes the machine's commands once record [recordIndex] is committed. */
    fun pushOnceCommitted(recordIndex: LogIndex, machine: MachineId) {
        pushesAwaitingCommit.getOrPut(recordIndex) { LinkedHashSet() } += machine
    }

    /** Sends the stop commands for [attempts] once record [recordIndex] is committed. */
    fun stopOnceCommitted(recordIndex: LogIndex, attempts: Collection<Attempt>) {
        stopsAwaitingCommit.getOrPut(recordIndex) { ArrayList() } += attempts
    }

    /** Sends the stop commands whose records are committed. */
    fun sendCommittedStops() {
        while (stopsAwaitingCommit.isNotEmpty() && stopsAwaitingCommit.firstKey() <= decisionLog.committedIndex) {
            // Attempts that aren't running yet go first: their stops can still prevent the start.
            stopsAwaitingCommit.pollFirstEntry().value.sortedBy { it.observedState == TaskState.RUNNING }.mapTo(pendingStops) { it.machine }
        }
        sendPendingStops()
    }

    /** Sends the stop commands of a limited number of machines; the others follow in later calls or in replies to heartbeats. */
    fun sendPendingStops() {
        val due = pendingStops.take(FailureDetector.MAX_DIRECT_CALLS)
        pendingStops.removeAll(due.toSet())
        due.forEach { id ->
            inventory.machines[id]?.let { if (it.lastContactMs == null) failureDetector.probe(it) else push(it) }
        }
    }

    /** Pushes commands to the machines whose records are committed. */
    fun sendCommittedPushes() {
        val committed = pushesAwaitingCommit.filterKeys { it <= decisionLog.committedIndex }
        committed.keys.forEach(pushesAwaitingCommit::remove)
        committed.values.flatMapTo(LinkedHashSet()) { it }.forEach { id -> inventory.machines[id]?.let(::push) }
    }

    private fun describe(command: WorkerCommand) = when (command) {
        is WorkerCommand.Start -> "command=start attempt=${command.attempt}"
        is WorkerCommand.Stop -> "command=stop attempt=${command.attempt} grace_s=${command.graceS}"
        is WorkerCommand.Forget -> "command=forget attempt=${command.attempt}"
    }

    /**
     * The commands that are due, as many as a message has room for; the others are still due with the next heartbeat. None if the range
     * of tokens is exhausted: a message without a new token couldn't be fenced.
     */
    private fun commandsFor(machine: Machine) =
        if (token.remainingCount == 0L) emptyList() else workerReconciler.commandsFor(machine).take(MAX_COMMANDS_PER_MESSAGE)

    private fun recordSent(machine: Machine, commands: List<WorkerCommand>) {
        for (command in commands) {
            context.logEvent(LogLevel.DEBUG) {
                "event=command_sent ${describe(command)} machine=${machine.id} " +
                    "incarnation=${machine.incarnation} token=$token committed=${decisionLog.committedIndex.number}"
            }
            if (command is WorkerCommand.Start) {
                jobTable.attempt(command.attempt)?.recordSent(token, machine.incarnation)
            }
        }
    }

    private companion object {
        /** Keeps a message below the worker's limit of 64 KiB; a command takes at most some 120 bytes. */
        const val MAX_COMMANDS_PER_MESSAGE = 500
    }
}
