package cleathitch.scheduler.capacity

import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.TerminationReason
import cleathitch.scheduler.model.Deployment

/** Autoscaling: rents machines for tasks that don't fit and terminates idle machines. Confined to the leader's event loop. */
internal class FleetScaler(
    private val context: SchedulerContext,
    private val deployment: Deployment,
    private val inventory: Inventory,
    private val scaleInCandidates: ScaleInCandidates,
    private val cloudInventoryHandler: CloudInventoryHandler,
    private val cloudRequests: CloudRequests,
) {
    private val planner = CapacityPlanner(deployment, inventory)
    private var lastScalingMs = 0L

    /** Scales out for [demands] and scales in idle machines, at most once per scaling period. */
    fun scale(demands: List<MachineDemand>) {
        if (!mayScaleOut() || context.now.monotonicMs - lastScalingMs < SCALING_PERIOD_MS) return
        lastScalingMs = context.now.monotonicMs
        scaleOut(demands)
        if (context.isFleetObserved()) scaleIn()
    }

    /**
     * Scaling out needs either heartbeats or the cloud provider's machine list: listed machines without a heartbeat count as booting,
     * so no machine is rented in their place.
     */
    private fun mayScaleOut() = context.isFleetObserved() || (context.mayPlaceTasks() && cloudInventoryHandler.areMachinesListed)

    private fun scaleOut(demands: List<MachineDemand>) {
        // Half of the permitted call rate is kept free for terminations and list calls.
        val maxCalls = (deployment.cloudCallsPerS / 2).toInt().coerceAtLeast(1) - inventory.pendingRentals.size
        if (maxCalls <= 0) return
        for ((offer, count) in planner.plan(demands, context.now.monotonicMs, maxCalls)) cloudRequests.requestRental(offer, count)
    }

    private fun scaleIn() {
        scaleInCandidates.idleMachines(context.now.monotonicMs, context.answeringSinceMs).forEach {
            cloudRequests.requestTermination(it.id, TerminationReason.IDLE)
        }
    }

    private companion object {
        /** The minimum time between two changes of the cloud provider's machine list is about this long. */
        const val SCALING_PERIOD_MS = 1000L
    }
}
