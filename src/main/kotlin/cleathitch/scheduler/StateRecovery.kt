package cleathitch.scheduler

import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.StopCause
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.FencingToken

/** Rebuilds the state in memory at the start of a term: restores the snapshots, then replays the events that they don't include. */
internal class StateRecovery(private val jobTable: JobTable, private val inventory: Inventory, private val decisionLog: DecisionLog) {
    /** Restores [recovered] in a term whose first fencing token is [firstToken]. */
    fun restore(recovered: RecoveredState, firstToken: FencingToken) {
        recovered.finishedJobs.forEach { jobTable.restore(it.snapshot) }
        recovered.jobs.forEach { jobTable.restore(it.snapshot) }
        recovered.inventory?.let(inventory::restore)
        decisionLog.restore(recovered)
        for ((index, record) in recovered.records) {
            for (event in record.events) replay(event, index)
        }
        inheritAttempts(firstToken)
    }

    private fun replay(event: Event, index: LogIndex) {
        if (decisionLog.isInSnapshot(event, index)) return
        when (event) {
            is Event.JobEvent -> if (jobTable.finalState(event.job) == null) jobTable.apply(event, index)
            is Event.InventoryEvent -> inventory.apply(event)
        }
    }

    private fun inheritAttempts(firstToken: FencingToken) {
        jobTable.jobs.forEach { job ->
            // Commands of an earlier leader may still be in flight, with tokens below the first token of this term.
            job.liveAttempts.values.forEach { it.inherit(firstToken) }
            job.liveAttempts.values.forEach { if (job.isTaskCompleted(it.id.task.index)) it.requestStop(StopCause.SUPERSEDED) }
            job.stopIfTerminal()
        }
    }
}
