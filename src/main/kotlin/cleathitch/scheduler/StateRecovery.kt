package cleathitch.scheduler

import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.StopCause
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.FencingToken

/** Rebuilds the state in memory at the start of a term: snapshots first, then the records that are newer than each snapshot. */
internal class StateRecovery(private val jobTable: JobTable, private val inventory: Inventory, private val decisionLog: DecisionLog) {
    /** The last record that each snapshot contains, by the snapshot's name. */
    private val foldedUpTo = HashMap<String, LogIndex>()

    /** Restores [recovered] for a term whose first fencing token is [firstToken]. */
    fun restore(recovered: RecoveredState, firstToken: FencingToken) {
        restoreSnapshots(recovered)
        for ((seq, record) in recovered.records) {
            for (event in record.events) replay(event, seq)
        }
        decisionLog.restore(recovered.head, recovered.records, recovered.finals, foldedUpTo)
        inheritAttempts(firstToken)
    }

    private fun restoreSnapshots(recovered: RecoveredState) {
        recovered.finals.forEach { jobTable.restore(it.second) }
        recovered.jobs.forEach { (snapshot, parts) ->
            jobTable.restore(snapshot)
            jobTable.job(snapshot.spec.id)?.recordPartsWritten(parts)
            foldedUpTo[DecisionLog.JOB_PREFIX + snapshot.spec.id.text] = LogIndex(snapshot.upTo)
        }
        recovered.fleet?.let {
            inventory.restore(it)
            foldedUpTo[DecisionLog.FLEET] = LogIndex(it.upTo)
        }
    }

    private fun replay(event: Event, seq: LogIndex) {
        when (event) {
            is Event.JobEvent -> {
                if (jobTable.finalState(event.job) != null) return
                if (isNewerThanSnapshot(DecisionLog.JOB_PREFIX + event.job.text, seq)) jobTable.apply(event, seq)
            }
            is Event.InventoryEvent -> if (isNewerThanSnapshot(DecisionLog.FLEET, seq)) inventory.apply(event)
        }
    }

    private fun isNewerThanSnapshot(name: String, seq: LogIndex) = (foldedUpTo[name] ?: LogIndex.NONE) < seq

    private fun inheritAttempts(firstToken: FencingToken) {
        jobTable.jobs.forEach { job ->
            // Commands of an earlier leader may still be in flight, under tokens below this term's first.
            job.liveAttempts.values.forEach { it.inherit(firstToken) }
            job.liveAttempts.values.forEach { if (job.isDone(it.id.task.index)) it.requestStop(StopCause.STRAY) }
            job.stopIfOver()
        }
    }
}
