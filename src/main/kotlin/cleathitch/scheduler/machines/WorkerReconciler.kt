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
 * Derives the commands for a machine from the differences between the job table and the machine's newest heartbeat.
 * Confined to the leader's event loop.
 */
internal class WorkerReconciler(private val jobTable: JobTable, private val decisionLog: DecisionLog) {
    /**
     * The indexes of the records that hold the outcomes of attempts, by machine. A worker may forget an exited attempt only once
     * its outcome is committed: until then the heartbeat is the only source from which a new leader could learn the outcome.
     */
    private val outcomeRecords = HashMap<MachineId, HashMap<AttemptId, LogIndex>>()

    /** Records that the outcome of an attempt on the machine is written in record [recordIndex]. */
    fun recordOutcome(machine: MachineId, attempt: AttemptId, recordIndex: LogIndex) {
        outcomeRecords.getOrPut(machine) { HashMap() }[attempt] = recordIndex
    }

    /** Removes the committed outcomes of attempts that the machine's newest heartbeat no longer reports. */
    fun removeCommittedOutcomes(machine: MachineId, reportedAttempts: Set<AttemptId>) {
        val outcomes = outcomeRecords[machine] ?: return
        outcomes.entries.removeAll { (id, recordIndex) -> id !in reportedAttempts && recordIndex <= decisionLog.committedIndex }
        if (outcomes.isEmpty()) outcomeRecords.remove(machine)
    }

    /**
     * Whether an attempt that the newest heartbeat reports as exited can no longer run. An exited attempt doesn't run again in the same
     * incarnation, and this leader doesn't start it again. But the heartbeat may be a delayed one, and an earlier leader may have started
     * the attempt again in a later incarnation, or may still do so. That is impossible once the worker has reported a token of this term.
     */
    fun isExitConfirmed(attempt: Attempt, machine: Machine): Boolean = attempt.isFencedFromEarlierTerms(machine.highestSeenToken)

    /**
     * Whether an attempt that the newest heartbeat doesn't report can no longer run. A start command in flight could still start it,
     * except in two cases, in which the worker rejects the command:
     * - The worker has reported a higher token than that of every start command for the attempt.
     * - The worker's incarnation is newer than the one to which the last start command was sent. This is the only case that can apply
     *   to a machine that receives no messages from the leader.
     */
    fun isTerminationConfirmed(attempt: Attempt, machine: Machine): Boolean {
        val newestStartToken = attempt.newestStartToken ?: return true
        if (machine.highestSeenToken > newestStartToken) return true
        // If an earlier leader sent the start command, the incarnation to which it was sent is unknown.
        return !attempt.isInherited && attempt.lastSentIncarnation < machine.incarnation
    }

    /** The commands that bring the machine from the state in its newest heartbeat to the state intended by the job table. */
    fun commandsFor(machine: Machine): List<WorkerCommand> {
        val stops = ArrayList<WorkerCommand>()
        val starts = ArrayList<WorkerCommand>()
        val forgets = ArrayList<WorkerCommand>()
        for (task in machine.reportedTasks) {
            when (val command = commandForReported(machine, task)) {
                is WorkerCommand.Forget -> forgets += command
                else -> command?.let { stops += it }
            }
        }
        val reportedAttempts = machine.reportedTasks.mapTo(HashSet()) { it.attempt }
        for (attempt in jobTable.attemptsOn(machine.id)) {
            if (attempt.id in reportedAttempts) continue
            when (val command = commandForMissing(machine, attempt)) {
                is WorkerCommand.Start -> starts += command
                else -> command?.let { stops += it }
            }
        }
        return forgets + stops + starts
    }

    private fun commandForReported(machine: Machine, task: TaskStatus): WorkerCommand? {
        val attempt = jobTable.attempt(task.attempt)?.takeIf { it.machine == machine.id }
        return when {
            attempt == null -> commandForUnknown(machine, task)
            // The exit isn't confirmed yet. The stop has no effect on an exited attempt, but its token fences off earlier start commands.
            task.state == TaskState.EXITED -> WorkerCommand.Stop(attempt.id, 0.0)
            attempt.stopCause != null && mayStop(attempt) -> stopCommandFor(attempt, task.state)
            else -> null
        }
    }

    private fun commandForUnknown(machine: Machine, task: TaskStatus): WorkerCommand? = if (task.state == TaskState.EXITED) {
        WorkerCommand.Forget(task.attempt).takeIf { isOutcomeCommitted(machine, task.attempt) }
    } else {
        WorkerCommand.Stop(task.attempt, 0.0)
    }

    private fun commandForMissing(machine: Machine, attempt: Attempt): WorkerCommand? = when {
        // The attempt isn't running, but the stop's token fences off a start command that is still in flight.
        attempt.stopCause != null ->
            WorkerCommand.Stop(attempt.id, 0.0).takeIf { attempt.newestStartToken != null && mayStop(attempt) }
        attempt.startIndex <= decisionLog.committedIndex && machine.state == MachineState.UP -> WorkerCommand.Start(attempt.id)
        else -> null
    }

    private fun isOutcomeCommitted(machine: Machine, attempt: AttemptId) =
        (outcomeRecords[machine.id]?.get(attempt) ?: LogIndex.NONE) <= decisionLog.committedIndex

    /**
     * An attempt of a cancelled or completed job is stopped only once the record of the job's end is committed: the stop can't be
     * undone if the record is never committed.
     */
    private fun mayStop(attempt: Attempt) = attempt.stopCause != StopCause.CANCELLED ||
        (attempt.job.cancelledIndex ?: attempt.job.completedIndex ?: LogIndex.NONE) <= decisionLog.committedIndex

    private fun stopCommandFor(attempt: Attempt, state: TaskState): WorkerCommand? {
        val spec = attempt.job.spec
        val savesProgress =
            attempt.stopCause != StopCause.CANCELLED && attempt.stopCause != StopCause.SUPERSEDED && spec.checkpointIntervalS > 0
        if (savesProgress && state == TaskState.SAVING) return null
        return WorkerCommand.Stop(attempt.id, if (savesProgress) spec.checkpointWriteS else 0.0)
    }
}
