package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.log.StoreHealth
import cleathitch.scheduler.log.WriteBudget
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.model.TransactionSize

/**
 * Applies events to the state in memory and commits them to the key-value store. The rate of its writes stays within the leader's
 * share of the key-value store's write rate limit. Confined to the leader's event loop.
 */
internal class LogWriter(
    private val context: SchedulerContext,
    storeWritesPerS: Double,
    private val timings: SchedulerTimings,
    private val term: Term,
    private val decisionLog: DecisionLog,
    private val storeHealth: StoreHealth,
    private val jobTable: JobTable,
    private val inventory: Inventory,
) {
    private val budget = WriteBudget(storeWritesPerS * WRITE_SHARE, context.now.monotonicMs)

    /** When the commit in flight was emitted, null if none is in flight. */
    private var inFlightSinceMs: Long? = null

    /** When the lease was last found not to be held while a commit was in flight. */
    private var lastWithoutLeaseMs = 0L
    private var lastWriteMs = 0L
    private var lastCompactionMs = context.now.monotonicMs

    /** Whether queued events are written without waiting for the next round, because a reply or a command waits for one of them. */
    private var isUrgent = false
    private var isCompacting = false

    /** Whether the commit in flight has been unanswered for longer than [SchedulerTimings.commitStallMs]. */
    fun isCommitStalled(): Boolean = inFlightSinceMs?.let { context.now.monotonicMs - it > timings.commitStallMs } == true

    /** Applies [event] in memory and queues it for the next commit; returns the index of the record that will contain it. */
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
     * Writes events immediately if a reply or a command waits for them, otherwise once per round, within the write budget.
     * Compaction leaves half of the budget's burst unused, so that it doesn't delay decisions.
     */
    fun write() {
        if (!decisionLog.isIdle) return handOverIfOverdue()
        val nowMs = context.now.monotonicMs
        storeHealth.raiseLimitsIfDue(nowMs)
        if (nowMs - lastCompactionMs >= timings.compactionPeriodMs) {
            lastCompactionMs = nowMs
            isCompacting = true
        }
        val allowed = budget.available(nowMs)
        val compactionChanges = if (isCompacting) minOf(storeHealth.limits.operations / 2, allowed - budget.burst / 2) else 0
        val mayCompact = compactionChanges >= MIN_COMPACTION_CHANGES
        val isDue = isUrgent || nowMs - lastWriteMs >= timings.roundPeriodMs
        val mayWriteEvents = decisionLog.hasPendingRecords && isDue && allowed >= EVENT_COMMIT_CHANGES
        if (!mayWriteEvents && !mayCompact) return
        val commit = decisionLog.nextCommit(term, jobTable, inventory::snapshot, if (mayCompact) compactionChanges else 0)
        if (mayCompact) endCompactionIfComplete()
        if (commit == null) return
        budget.consume(commit.changes.sumOf { if (it is Mutation.Put) it.parts else 1 })
        lastWriteMs = nowMs
        isUrgent = decisionLog.hasPendingRecords
        inFlightSinceMs = nowMs
        context.emit(Effect.Write(commit))
    }

    private fun endCompactionIfComplete() {
        isCompacting = decisionLog.isCompactionIncomplete
        for (value in decisionLog.oversizedValues) {
            context.logEvent(LogLevel.ERROR) { "event=value_too_large key=${value.key} bytes=${value.bytes} limit=${value.maxBytes}" }
        }
    }

    /** Called when the key-value store has applied the commit in flight, whose index is [index]. */
    fun recordCommit(index: LogIndex) {
        decisionLog.recordCommitted(index, jobTable)
        inFlightSinceMs = null
        storeHealth.recordSuccess()
    }

    /**
     * Called when the key-value store has rejected the commit in flight for its content: its records are planned again in smaller
     * commits. If they can't be made smaller, the term ends, because what memory holds can't be recorded.
     */
    fun recordRejection(index: LogIndex, size: TransactionSize) {
        inFlightSinceMs = null
        storeHealth.recordRejection(size, context.now.monotonicMs)
        isUrgent = true
        if (decisionLog.recordRejected(index)) return
        context.stepDown(
            "commit_rejected: the smallest commit has ${size.bytes} bytes, key ${size.largestKey} has ${size.largestValueBytes}",
            transferLeadership = true,
        )
    }

    /**
     * Leaves the term to another controller if a commit has no answer although the lease is renewed all the time. That is done once until
     * a commit succeeds, because the other controllers may fare no better.
     */
    private fun handOverIfOverdue() {
        val nowMs = context.now.monotonicMs
        if (!context.isLeaseHeld()) lastWithoutLeaseMs = nowMs
        val waitedMs = context.leaseRenewedMs - maxOf(inFlightSinceMs ?: nowMs, lastWithoutLeaseMs)
        if (waitedMs <= timings.leaderLeaseMs * HANDOVER_LEASES || storeHealth.hasHandedOver) return
        storeHealth.recordHandover()
        context.stepDown("commit_overdue: no answer for $waitedMs ms although the lease is renewed", transferLeadership = true)
    }

    private companion object {
        /** A leader whose commit has no answer for this many of its leases hands over. */
        const val HANDOVER_LEASES = 6

        /** The fraction of the key-value store's write rate limit that the leader may use; the rest is left for elections. */
        const val WRITE_SHARE = 0.8

        /** Compaction is skipped while fewer changes than this are available to it; a smaller compaction isn't worth a commit. */
        const val MIN_COMPACTION_CHANGES = 4

        /** Changes in the smallest commit that contains events: one record and the head. */
        const val EVENT_COMMIT_CHANGES = 2
    }
}
