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
 * Sends commands to workers, as replies to heartbeats or directly, each message under a fencing token of its own.
 * Commands that depend on a record are held back until it is committed. Confined to the leader's event loop.
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
    /** The smallest token of this term: a machine that has seen it has been reached in this term. */
    val firstToken = FencingToken.first(term.revision)

    /** The newest token sent. */
    var token = firstToken
        private set

    /** Machines that get their new commands as soon as a record is committed. */
    private val pushesAwaitingCommit = HashMap<LogIndex, MutableSet<MachineId>>()

    /**
     * Attempts whose stops go out once the record is committed. Left to each machine's next heartbeat, a task that is
     * fetching its image would start after its user has the reply to the cancellation; and where an outage follows at once,
     * only leases would end what runs.
     */
    private val stopsAwaitingCommit = TreeMap<LogIndex, MutableList<Attempt>>()

    /** Machines to which committed stops are still to be sent, a few at a time. */
    private val pendingStops = LinkedHashSet<MachineId>()

    /** A commit raised the key-value store's revision, which makes a new range of tokens available. */
    fun recordRevision(revision: Long) {
        token = maxOf(token, FencingToken.first(revision))
    }

    /** The reply to the machine's heartbeat, with the commands that it lacks. */
    fun replyTo(machine: Machine): HeartbeatDecision.Answer {
        val commands = commandsFor(machine)
        if (commands.isNotEmpty()) token = token.next()
        recordSent(machine, commands)
        pendingStops -= machine.id
        machine.recordReply(token)
        return HeartbeatDecision.Answer(token, commands)
    }

    /** Sends the machine the commands that it lacks, without waiting for its next heartbeat. */
    fun push(machine: Machine) {
        val address = machine.address ?: return
        if (machine.state == MachineState.STARTING) return
        val commands = commandsFor(machine)
        if (commands.isEmpty()) return
        token = token.next()
        recordSent(machine, commands)
        context.emit(Effect.SendCommands(machine.id, address, machine.incarnation, token, commands))
    }

    /** Pushes to the machine once record [recordIndex] is committed. */
    fun pushAfter(recordIndex: LogIndex, machine: MachineId) {
        pushesAwaitingCommit.getOrPut(recordIndex) { LinkedHashSet() } += machine
    }

    /** Sends the stops of [attempts] once record [recordIndex] is committed. */
    fun stopAfter(recordIndex: LogIndex, attempts: Collection<Attempt>) {
        stopsAwaitingCommit.getOrPut(recordIndex) { ArrayList() } += attempts
    }

    /** Sends the stops whose records are committed. */
    fun sendCommittedStops() {
        while (stopsAwaitingCommit.isNotEmpty() && stopsAwaitingCommit.firstKey() <= decisionLog.committedIndex) {
            // Attempts that don't run yet go first: their stops can still forestall the starts.
            stopsAwaitingCommit.pollFirstEntry().value.sortedBy { it.observedState == TaskState.RUNNING }.mapTo(pendingStops) { it.machine }
        }
        sendPendingStops()
    }

    /** Sends some of the stops that are due; the others follow in later rounds or with the machines' heartbeats. */
    fun sendPendingStops() {
        val due = pendingStops.take(FailureDetector.MAX_PROBES)
        pendingStops.removeAll(due.toSet())
        due.forEach { id ->
            inventory.machines[id]?.let { if (it.lastContactMs == null) failureDetector.probe(it) else push(it) }
        }
    }

    /** Pushes to the machines whose records are committed. */
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

    /** Nothing is sent when the current range of tokens is used up: a message without a new token couldn't be fenced. */
    private fun commandsFor(machine: Machine) = if (token.countLeft == 0L) emptyList() else workerReconciler.commandsFor(machine)

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
}
