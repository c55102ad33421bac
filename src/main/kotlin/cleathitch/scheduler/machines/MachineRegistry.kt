package cleathitch.scheduler.machines

import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Offer

/**
 * Registers machines in the inventory, each with an upper bound on the end of its worker's lease, and remembers terminated
 * machines, so that a delayed heartbeat doesn't register them again. Confined to the leader's event loop.
 */
internal class MachineRegistry(
    private val context: SchedulerContext,
    private val deployment: Deployment,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    start: ClockReading,
) {
    private val terminatedMachines = LinkedHashSet<MachineId>()

    /**
     * Upper bound on the end of leases granted by earlier leaders. Until then, even a machine that this leader never answered may run
     * tasks.
     */
    val inheritedLeaseEndMs = start.monotonicMs + timings.graceMs + leaseMs()

    /** Whether the cloud provider has confirmed the machine's termination. */
    fun isTerminated(id: MachineId): Boolean = id in terminatedMachines

    /** Records that the cloud provider has confirmed the machine's termination. */
    fun recordTerminated(id: MachineId) {
        terminatedMachines += id
        if (terminatedMachines.size > MAX_TERMINATED_MACHINES) terminatedMachines.remove(terminatedMachines.first())
    }

    /** Returns the machine with this id, which is added to the inventory if it is unknown. */
    fun register(id: MachineId, offer: Offer, rentedAtMs: Long): Machine = inventory.register(id, offer, rentedAtMs).also {
        it.extendLease(maxOf(inheritedLeaseEndMs, leaseEndFromNowMs()))
    }

    /** The time by which a lease that is renewed now has certainly expired. */
    fun leaseEndFromNowMs(): Long = context.now.monotonicMs + leaseMs()

    private fun leaseMs() = (deployment.workerLeaseS * 1000).toLong() + timings.leaseMarginMs

    private companion object {
        /** Limit on the terminated machines remembered. The delayed heartbeat of a forgotten one looks like that of a new machine. */
        const val MAX_TERMINATED_MACHINES = 4096
    }
}
