package cleathitch.scheduler.machines

import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.MachineId

/**
 * The periodic check of the whole fleet: records the termination of attempts whose worker's lease has certainly expired, and
 * runs the failure detector. Confined to the leader's event loop.
 */
// Grouping the collaborators into a parameter object would only hide the dependencies of the check.
@Suppress("LongParameterList")
internal class FleetMonitor(
    private val context: SchedulerContext,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    private val jobTable: JobTable,
    private val registry: MachineRegistry,
    private val reconciler: HeartbeatReconciler,
    private val failureDetector: FailureDetector,
    private val directReachability: DirectReachability,
    start: ClockReading,
    private val findOverdueBootingMachines: () -> List<Machine>,
    private val terminate: (MachineId, TerminationReason) -> Unit,
) {
    private val startedMs = start.monotonicMs

    /** Checks every machine once; the caller is responsible for the period. */
    fun checkFleet() {
        endExpiredLeases()
        if (context.isLeaseHeld() && context.now.monotonicMs - startedMs < timings.failoverSettleMs) failureDetector.probeUncontacted()
        if (!context.isFleetObserved()) return
        inventory.machines.values.forEach(failureDetector::expectIfRunning)
        transferLeadershipIfUnreachable()
        if (context.hasSteppedDown) return
        failureDetector.terminateUnresponsive()
        failureDetector.terminateMissingReplies()
        findOverdueBootingMachines().forEach { terminate(it.id, TerminationReason.NEVER_STARTED) }
    }

    /** A worker kills its tasks when its lease expires, so they may be started elsewhere from then on. */
    private fun endExpiredLeases() {
        val nowMs = context.now.monotonicMs
        for (id in jobTable.machinesInUse.toList()) {
            val leaseEndMs = inventory.machines[id]?.leaseEndMs ?: registry.inheritedLeaseEndMs
            if (nowMs < leaseEndMs) continue
            context.logEvent(LogLevel.DEBUG) { "event=worker_lease_expired machine=$id attempts=${jobTable.attemptsOn(id).size}" }
            reconciler.recordTerminationOfAll(id)
        }
    }

    /**
     * Steps down in favor of another controller if heartbeats arrive through followers but direct calls don't reach the machines.
     * A leader that is connected to the key-value store but cut off from the machines gets no answer to any probe. If it
     * remained leader, it would mistake machines whose heartbeats are only delayed for silent ones and terminate them.
     */
    private fun transferLeadershipIfUnreachable() {
        if (!directReachability.isDirectPathDown(context.now.monotonicMs)) return
        context.stepDown("direct commands don't reach machines that report to others", transferLeadership = true)
    }
}
