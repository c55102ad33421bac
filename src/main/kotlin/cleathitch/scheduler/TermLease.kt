package cleathitch.scheduler

import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.ClockReading

/**
 * Tracks the leader's lease in this term, what the lease permits, and the period in which heartbeats could be answered. Confined to the
 * leader's event loop.
 */
internal class TermLease(
    private val context: SchedulerContext,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    start: ClockReading,
    /** Whether the cluster never had a leader before. Such a cluster has no machines yet, so there are no heartbeats to wait for. */
    private val isFirstTerm: Boolean,
) {
    private val startedMs = start.monotonicMs
    private var validUntilMs = startedMs

    /**
     * The start of the answering period: the period up to now in which heartbeats could be answered without interruption. During an
     * outage of the key-value store that outlasts the grace period, no heartbeat is answered and every machine appears silent. If that
     * time counted as silence of the machines, healthy machines would be terminated.
     */
    var answeringSinceMs = startedMs
        private set

    /** When the key-value store last extended the lease, as far as this leader knows. */
    var renewedMs = startedMs
        private set

    /** Moves the start of the answering period to the present if heartbeats can't be answered now. Called once per batch of inputs. */
    fun updateAnsweringPeriod() {
        if (!mayAnswerMachines()) answeringSinceMs = context.now.monotonicMs
    }

    /** Called when the key-value store has extended the lease to [untilMs]. */
    fun renew(untilMs: Long) {
        if (untilMs <= validUntilMs) return
        validUntilMs = untilMs
        renewedMs = context.now.monotonicMs
    }

    /** Whether the lease is valid. Without it the leader must neither make decisions nor answer users. */
    fun isHeld(): Boolean = context.now.monotonicMs < validUntilMs

    /**
     * Whether heartbeats may be answered: while the lease is valid, and for a grace period after it, so that a short outage doesn't
     * expire the workers' leases.
     */
    fun mayAnswerMachines(): Boolean = context.now.monotonicMs < validUntilMs + timings.graceMs

    /**
     * Whether tasks may be placed. The leader doesn't wait for heartbeats of the whole fleet: once a machine has sent its first
     * heartbeat in this term, that heartbeat and the job table show what may be running on it, so tasks may be placed on it.
     */
    fun mayPlaceTasks(): Boolean = isHeld() && inventory.types.isNotEmpty()

    /**
     * Whether all machines have had time to send a heartbeat. Decisions that rely on missing heartbeats, such as scaling in, wait for
     * this.
     */
    fun isFleetObserved(): Boolean = mayPlaceTasks() &&
        (isFirstTerm && answeringSinceMs == startedMs || context.now.monotonicMs - answeringSinceMs >= timings.failoverSettleMs)
}
