package cleathitch.scheduler.capacity

import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.TerminationReason
import cleathitch.scheduler.model.Deployment

/** Rents machines for the tasks without room, and terminates idle ones. Confined to the leader's event loop. */
internal class FleetScaling(
    private val context: SchedulerContext,
    private val deployment: Deployment,
    private val inventory: Inventory,
    private val scaleInCandidates: ScaleInCandidates,
    private val cloudInventory: CloudInventoryIntake,
    private val cloudRequests: CloudRequests,
) {
    private val planner = CapacityPlanner(deployment, inventory)
    private var lastScalingMs = 0L

    /** Scales out for [demands] and scales in what is idle, once a period. */
    fun scale(demands: List<MachineDemand>) {
        if (!mayScaleOut() || context.now.steadyMs - lastScalingMs < SCALING_PERIOD_MS) return
        lastScalingMs = context.now.steadyMs
        scaleOut(demands)
        if (context.isSettled()) scaleIn()
    }

    /** The cloud's list shows what there is as well as heartbeats do: machines that haven't reported count as booting. */
    private fun mayScaleOut() = context.isSettled() || (context.mayPlace() && cloudInventory.areMachinesListed)

    private fun scaleOut(demands: List<MachineDemand>) {
        // Half of the call rate stays free for terminations and lists.
        val maxCalls = (deployment.cloudRps / 2).toInt().coerceAtLeast(1) - inventory.pendingRentals.size
        if (maxCalls <= 0) return
        for ((offer, count) in planner.plan(demands, context.now.steadyMs, maxCalls)) cloudRequests.requestRental(offer, count)
    }

    private fun scaleIn() {
        scaleInCandidates.idle(context.now.steadyMs, context.listeningSinceMs).forEach {
            cloudRequests.requestTermination(it.id, TerminationReason.IDLE)
        }
    }

    private companion object {
        /** About the shortest period in which the cloud's list can show anything new. */
        const val SCALING_PERIOD_MS = 1000L
    }
}
