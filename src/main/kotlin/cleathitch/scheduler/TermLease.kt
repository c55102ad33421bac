package cleathitch.scheduler

import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.ClockReading

/** What the leader's lease allows in this term, and since when heartbeats are taken in. Confined to the leader's event loop. */
internal class TermLease(
    private val context: SchedulerContext,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    start: ClockReading,
    /** Nobody led before, so no machine exists whose heartbeat has to be awaited. */
    private val isFirstTerm: Boolean,
) {
    private val startedMs = start.steadyMs
    private var validUntilMs = startedMs

    /**
     * Since when heartbeats are taken in without a break. After an outage of the key-value store that outlasts the grace
     * period every machine appears silent for as long; counting that time would terminate healthy machines.
     */
    var listeningSinceMs = startedMs
        private set

    /** Restarts the listening period as long as heartbeats can't be answered. Called once for each batch of inputs. */
    fun observeTime() {
        if (!mayAnswerMachines()) listeningSinceMs = context.now.steadyMs
    }

    /** The key-value store has extended the lease to [untilMs]. */
    fun renew(untilMs: Long) {
        validUntilMs = maxOf(validUntilMs, untilMs)
    }

    /** Without the lease no decision may be taken and no user answered. */
    fun isHeld(): Boolean = context.now.steadyMs < validUntilMs

    /** Heartbeats are answered for a grace period beyond the lease, so that a short outage doesn't end the workers' leases. */
    fun mayAnswerMachines(): Boolean = context.now.steadyMs < validUntilMs + timings.graceMs

    /** A machine gets tasks as soon as it has sent a heartbeat in this term: that and the job table show what may run there. */
    fun mayPlace(): Boolean = isHeld() && inventory.types.isNotEmpty()

    /** Whether all machines have had time to send a heartbeat; decisions that depend on absent machines, as scaling does, wait for this. */
    fun isSettled(): Boolean = mayPlace() &&
        (isFirstTerm && listeningSinceMs == startedMs || context.now.steadyMs - listeningSinceMs >= timings.failoverMs)
}
