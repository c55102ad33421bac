package cleathitch.scheduler.machines

import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Offer

/**
 * Registers machines in the inventory under the longest lease that they may hold, and remembers the terminated ones, so
 * that a late heartbeat doesn't bring them back. Confined to the leader's event loop.
 */
internal class MachineRegistry(
    private val context: SchedulerContext,
    private val deployment: Deployment,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    start: ClockReading,
) {
    private val terminatedMachines = LinkedHashSet<MachineId>()

    /** Until then a machine that this leader never answered may still run tasks under a lease of an earlier leader. */
    val inheritedLeaseEndMs = start.steadyMs + timings.graceMs + leaseMs()

    /** Whether the cloud has confirmed that the machine is terminated. */
    fun isTerminated(id: MachineId): Boolean = id in terminatedMachines

    /** The cloud has confirmed that the machine is terminated. */
    fun recordTerminated(id: MachineId) {
        terminatedMachines += id
        if (terminatedMachines.size > MAX_TERMINATED_MACHINES) terminatedMachines.remove(terminatedMachines.first())
    }

    /** The machine with this id, entered into the inventory if it isn't there. */
    fun register(id: MachineId, offer: Offer, rentedAtMs: Long): Machine = inventory.register(id, offer, rentedAtMs).also {
        it.extendLease(maxOf(inheritedLeaseEndMs, leaseEndFromNowMs()))
    }

    /** When a lease that is renewed now has surely run out. */
    fun leaseEndFromNowMs(): Long = context.now.steadyMs + leaseMs()

    private fun leaseMs() = (deployment.leaseS * 1000).toLong() + timings.leaseMarginMs

    private companion object {
        /** How many terminated machines are remembered, to distinguish their late heartbeats from those of new machines. */
        const val MAX_TERMINATED_MACHINES = 4096
    }
}
