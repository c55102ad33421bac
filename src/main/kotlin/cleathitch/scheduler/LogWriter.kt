package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.log.WriteBudget
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.Term

/**
 * Applies events to the state in memory, and paces the commits that make them durable by what the key-value store allows.
 * Confined to the leader's event loop.
 */
internal class LogWriter(
    private val context: SchedulerContext,
    private val deployment: Deployment,
    private val timings: SchedulerTimings,
    private val term: Term,
    private val decisionLog: DecisionLog,
    private val jobTable: JobTable,
    private val inventory: Inventory,
    start: ClockReading,
) {
    private val budget = WriteBudget(deployment.stateWriteRps * WRITE_SHARE, start.steadyMs)

    /** When the commit in flight was handed out, null while none is. */
    private var writeSinceMs: Long? = null
    private var lastWriteMs = 0L
    private var lastCompactionMs = start.steadyMs

    /** A queued event holds up a reply or a command, so its commit doesn't wait for the next round. */
    private var isUrgent = false
    private var isCompacting = false

    /** Whether the key-value store leaves a commit without an answer for long. */
    fun isStalled(): Boolean = writeSinceMs?.let { context.now.steadyMs - it > timings.commitStallMs } == true

    /** Applies [event] in memory and queues it; returns the index of the record that will hold it. */
    fun append(event: Event): LogIndex {
        val index = decisionLog.append(event)
        if (event !is Event.TaskCompleted && event !is Event.AttemptTerminated) isUrgent = true
        when (event) {
            is Event.JobEvent -> jobTable.apply(event, index)
            is Event.InventoryEvent -> inventory.apply(event)
        }
        return index
    }

    /**
     * Writes at once what a reply or a command waits for, and the rest once a round, as far as the budget goes.
     * Half of a second's budget is never spent on compaction, so that it doesn't delay a decision.
     */
    fun write() {
        if (!decisionLog.isIdle) return
        val nowMs = context.now.steadyMs
        if (nowMs - lastCompactionMs >= timings.compactionMs) {
            lastCompactionMs = nowMs
            isCompacting = true
        }
        val allowed = budget.available(nowMs)
        val compactionChanges = if (isCompacting) minOf(deployment.stateTxnOps / 2, allowed - budget.burst / 2) else 0
        val mayCompact = compactionChanges >= MIN_COMPACTION_CHANGES
        val isDue = isUrgent || nowMs - lastWriteMs >= timings.roundMs
        val mayWriteEvents = decisionLog.hasPendingRecords && isDue && allowed >= EVENT_COMMIT_CHANGES
        if (!mayWriteEvents && !mayCompact) return
        val commit = decisionLog.nextCommit(term, jobTable, inventory::snapshot, if (mayCompact) compactionChanges else 0) ?: return
        if (mayCompact) isCompacting = decisionLog.isCompactionIncomplete
        budget.consume(commit.changes.sumOf { if (it is Mutation.Put) it.parts else 1 })
        lastWriteMs = nowMs
        isUrgent = decisionLog.hasPendingRecords
        writeSinceMs = nowMs
        context.emit(Effect.Write(commit))
    }

    /** The commit in flight, up to record [index], is durable. */
    fun recordCommit(index: LogIndex) {
        decisionLog.recordCommitted(index, jobTable)
        writeSinceMs = null
    }

    private companion object {
        /** The leader's share of the key-value store's write rate; elections need the rest. */
        const val WRITE_SHARE = 0.8

        /** A step of the compaction that could make fewer changes isn't worth a commit. */
        const val MIN_COMPACTION_CHANGES = 4

        /** The smallest commit of events: a record and the head. */
        const val EVENT_COMMIT_CHANGES = 2
    }
}
