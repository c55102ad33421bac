package cleathitch.scheduler

import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.ClockReading

/** The leader's lease in this term, what it permits, and since when heartbeats are answered. Confined to the leader's event loop. */
internal class TermLease(
    private val context: SchedulerContext,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    start: ClockReading,
    /** Whether the cluster never had a leader before. In that case it has no machines yet whose heartbeats to wait for. */
    private val isFirstTerm: Boolean,
) {
    private val startedMs = start.monotonicMs
    private var validUntilMs = startedMs

    /**
     * The time since which heartbeats could be answered without interruption. During an outage of the key-value store that outlasts
     * the grace period no heartbeat is answered and every machine appears silent; counting that time would terminate healthy machines.
     */
    var answeringSinceMs = startedMs
        private set

    /** Restarts the answering period while heartbeats can't be answered. Called once per batch of inputs. */
    fun updateAnsweringPeriod() {
        if (!mayAnswerMachines()) answeringSinceMs = context.now.monotonicMs
    }

    /** Called when the key-value store has extended the lease to [untilMs]. */
    fun renew(untilMs: Long) {
        validUntilMs = maxOf(validUntilMs, untilMs)
    }

    /** Whether the lease is valid. Without it the leader must neither make decisions nor answer users. */
    fun isHeld(): Boolean = context.now.monotonicMs < validUntilMs

    /**
     * Whether heartbeats may be answered: while the lease is valid, and for a grace period after it, so that a short outage doesn't
     * expire the workers' leases.
     */
    fun mayAnswerMachines(): Boolean = context.now.monotonicMs < validUntilMs + timings.graceMs

    /**
     * Whether tasks may be placed. There is no need to wait for the whole fleet: a machine's first heartbeat in this term and the job
     * table together show what may be running on it, so tasks may be placed on it from then on.
     */
    fun mayPlaceTasks(): Boolean = isHeld() && inventory.types.isNotEmpty()

    /**
     * Whether all machines have had time to send a heartbeat. Decisions that rely on missing heartbeats, such as scaling in, wait for
     * this.
     */
    fun isFleetObserved(): Boolean = mayPlaceTasks() &&
        (isFirstTerm && answeringSinceMs == startedMs || context.now.monotonicMs - answeringSinceMs >= timings.failoverSettleMs)
}
