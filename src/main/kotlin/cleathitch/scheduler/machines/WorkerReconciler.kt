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

/** What a machine is to be told: the difference between what is intended and what its newest report shows. */
internal class WorkerReconciler(private val jobTable: JobTable, private val decisionLog: DecisionLog) {
    /** Outcomes on their way to the journal, by machine; an exited attempt is forgotten there after that. */
    private val outcomes = HashMap<MachineId, HashMap<AttemptId, LogIndex>>()

    fun outcome(machine: MachineId, attempt: AttemptId, seq: LogIndex) {
        outcomes.getOrPut(machine) { HashMap() }[attempt] = seq
    }

    /** Outcomes that are committed needn't be kept once the machine shows their attempts no more. */
    fun shown(machine: MachineId, attempts: Set<AttemptId>) {
        val own = outcomes[machine] ?: return
        own.entries.removeAll { (id, seq) -> id !in attempts && seq <= decisionLog.committed }
        if (own.isEmpty()) outcomes.remove(machine)
    }

    /**
     * An attempt that a report lacks may yet be started by an order on its way, unless the machine has
     * seen a higher version than any such order bears, or its session began after the last was sent: orders
     * for an earlier session are dropped. Of a machine that hears nothing, only the latter is ever seen.
     */
    fun isTerminationConfirmed(attempt: Attempt, machine: Machine): Boolean {
        val newest = attempt.newestStartToken ?: return true
        if (machine.token > newest) return true
        // For which session an older leader sent it isn't known.
        return attempt.inheritedToken == null && attempt.sentIncarnation < machine.incarnation
    }

    /** The orders that bring the machine from what its newest report shows to what is intended. */
    fun of(machine: Machine): List<WorkerCommand> {
        val stops = ArrayList<WorkerCommand>()
        val starts = ArrayList<WorkerCommand>()
        val forgets = ArrayList<WorkerCommand>()
        val shown = HashMap<AttemptId, TaskStatus>()
        for (task in machine.reported) {
            shown[task.attempt] = task
            val attempt = jobTable.attempt(task.attempt)?.takeIf { it.machine == machine.id }
            when {
                task.state == TaskState.EXITED ->
                    if (attempt == null && (outcomes[machine.id]?.get(task.attempt) ?: LogIndex.NONE) <= decisionLog.committed) {
                        forgets += WorkerCommand.Forget(task.attempt)
                    }
                attempt == null -> stops += WorkerCommand.Stop(task.attempt, 0.0)
                attempt.stop != null && mayStop(attempt) -> stop(attempt, task.state)?.let { stops += it }
            }
        }
        for (attempt in jobTable.attemptsOn(machine.id)) {
            if (attempt.id in shown) continue
            if (attempt.stop != null) {
                // Nothing to stop, but the order's version shuts out a start that is still on its way.
                if (attempt.newestStartToken != null && mayStop(attempt)) stops += WorkerCommand.Stop(attempt.id, 0.0)
            } else if (attempt.startSeq <= decisionLog.committed && machine.state == MachineState.UP) {
                starts += WorkerCommand.Start(attempt.id)
            }
        }
        return forgets + stops + starts
    }

    private fun mayStop(attempt: Attempt) = attempt.stop != StopCause.CANCELLED ||
        (attempt.job.cancelledSeq ?: attempt.job.finishedSeq ?: LogIndex.NONE) <= decisionLog.committed

    private fun stop(attempt: Attempt, state: TaskState): WorkerCommand? {
        val spec = attempt.job.spec
        val saves = attempt.stop != StopCause.CANCELLED && attempt.stop != StopCause.STRAY && spec.checkpointIntervalS > 0
        if (saves && state == TaskState.SAVING) return null
        return WorkerCommand.Stop(attempt.id, if (saves) spec.checkpointWriteS else 0.0)
    }
}
