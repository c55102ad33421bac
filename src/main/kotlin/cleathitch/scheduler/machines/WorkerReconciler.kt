package cleathitch.scheduler.machines

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.StopCause
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand

/**
 * Derives the commands for a machine from the difference between the job table and the machine's newest heartbeat.
 * Confined to the leader's event loop.
 */
internal class WorkerReconciler(private val jobTable: JobTable, private val decisionLog: DecisionLog) {
    /**
     * The records of attempts' outcomes, by machine. A worker may forget an exited attempt only once its outcome is
     * committed: until then its heartbeat is the only source from which a next leader could learn it.
     */
    private val outcomeRecords = HashMap<MachineId, HashMap<AttemptId, LogIndex>>()

    /** The outcome of an attempt on the machine will be in record [recordIndex]. */
    fun recordOutcome(machine: MachineId, attempt: AttemptId, recordIndex: LogIndex) {
        outcomeRecords.getOrPut(machine) { HashMap() }[attempt] = recordIndex
    }

    /** Drops the committed outcomes of attempts that the machine's newest heartbeat doesn't list any more. */
    fun dropSettledOutcomes(machine: MachineId, listedAttempts: Set<AttemptId>) {
        val outcomes = outcomeRecords[machine] ?: return
        outcomes.entries.removeAll { (id, recordIndex) -> id !in listedAttempts && recordIndex <= decisionLog.committedIndex }
        if (outcomes.isEmpty()) outcomeRecords.remove(machine)
    }

    /**
     * Whether an attempt that the newest heartbeat doesn't list can't run any more. A start in flight may still begin it,
     * unless the machine has seen a higher token than any such start has, or its incarnation began after the last was sent:
     * commands for an earlier incarnation are dropped. A machine that gets no commands can only ever show the latter.
     */
    fun isTerminationConfirmed(attempt: Attempt, machine: Machine): Boolean {
        val newestStartToken = attempt.newestStartToken ?: return true
        if (machine.highestSeenToken > newestStartToken) return true
        // For which incarnation an earlier leader sent a start isn't known.
        return !attempt.isInherited && attempt.lastSentIncarnation < machine.incarnation
    }

    /** The commands that bring the machine from what its newest heartbeat lists to what the job table intends. */
    fun commandsFor(machine: Machine): List<WorkerCommand> {
        val stops = ArrayList<WorkerCommand>()
        val starts = ArrayList<WorkerCommand>()
        val forgets = ArrayList<WorkerCommand>()
        for (task in machine.reportedTasks) {
            when (val command = commandForListed(machine, task)) {
                is WorkerCommand.Forget -> forgets += command
                else -> command?.let { stops += it }
            }
        }
        val listedAttempts = machine.reportedTasks.mapTo(HashSet()) { it.attempt }
        for (attempt in jobTable.attemptsOn(machine.id)) {
            if (attempt.id in listedAttempts) continue
            when (val command = commandForMissing(machine, attempt)) {
                is WorkerCommand.Start -> starts += command
                else -> command?.let { stops += it }
            }
        }
        return forgets + stops + starts
    }

    private fun commandForListed(machine: Machine, task: TaskStatus): WorkerCommand? {
        val attempt = jobTable.attempt(task.attempt)?.takeIf { it.machine == machine.id }
        return when {
            task.state == TaskState.EXITED ->
                WorkerCommand.Forget(task.attempt).takeIf { attempt == null && isOutcomeCommitted(machine, task.attempt) }
            attempt == null -> WorkerCommand.Stop(task.attempt, 0.0)
            attempt.stopCause != null && mayStop(attempt) -> stopOf(attempt, task.state)
            else -> null
        }
    }

    private fun commandForMissing(machine: Machine, attempt: Attempt): WorkerCommand? = when {
        // Nothing runs yet, but the stop's token shuts out a start that is still in flight.
        attempt.stopCause != null ->
            WorkerCommand.Stop(attempt.id, 0.0).takeIf { attempt.newestStartToken != null && mayStop(attempt) }
        attempt.startIndex <= decisionLog.committedIndex && machine.state == MachineState.UP -> WorkerCommand.Start(attempt.id)
        else -> null
    }

    private fun isOutcomeCommitted(machine: Machine, attempt: AttemptId) =
        (outcomeRecords[machine.id]?.get(attempt) ?: LogIndex.NONE) <= decisionLog.committedIndex

    /** The stop of a cancelled attempt waits for its record: it couldn't be taken back if the record is never committed. */
    private fun mayStop(attempt: Attempt) = attempt.stopCause != StopCause.CANCELLED ||
        (attempt.job.cancelledIndex ?: attempt.job.finishedIndex ?: LogIndex.NONE) <= decisionLog.committedIndex

    private fun stopOf(attempt: Attempt, state: TaskState): WorkerCommand? {
        val spec = attempt.job.spec
        val savesProgress = attempt.stopCause != StopCause.CANCELLED && attempt.stopCause != StopCause.STRAY && spec.checkpointIntervalS > 0
        if (savesProgress && state == TaskState.SAVING) return null
        return WorkerCommand.Stop(attempt.id, if (savesProgress) spec.checkpointWriteS else 0.0)
    }
}
