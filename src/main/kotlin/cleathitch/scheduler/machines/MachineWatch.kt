package cleathitch.scheduler.machines

import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.MachineId

/**
 * The periodic check of the whole fleet: ends attempts whose worker's lease has surely run out, and runs the failure detector.
 * Confined to the leader's event loop.
 */
// The collaborators of one step; an object that groups them would only hide what the step depends on.
@Suppress("LongParameterList")
internal class MachineWatch(
    private val context: SchedulerContext,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    private val jobTable: JobTable,
    private val registry: MachineRegistry,
    private val reconciler: HeartbeatReconciler,
    private val failureDetector: FailureDetector,
    private val directReachability: DirectReachability,
    start: ClockReading,
    private val findOverdueBoots: () -> List<Machine>,
    private val terminate: (MachineId, TerminationReason) -> Unit,
) {
    private val startedMs = start.steadyMs

    /** Watches every machine once; the caller keeps the period. */
    fun watch() {
        endExpiredLeases()
        if (context.isLeaseHeld() && context.now.steadyMs - startedMs < timings.failoverMs) failureDetector.probeUnseen()
        if (!context.isSettled()) return
        inventory.machines.values.forEach(failureDetector::expectIfRunning)
        transferLeadershipIfUnreachable()
        if (context.hasSteppedDown) return
        failureDetector.terminateSilent()
        failureDetector.terminateMissingReplies()
        findOverdueBoots().forEach { terminate(it.id, TerminationReason.NEVER_STARTED) }
    }

    /** A worker ends its tasks when its lease runs out, so they may start elsewhere from then on. */
    private fun endExpiredLeases() {
        val nowMs = context.now.steadyMs
        for (machine in inventory.machines.values.toList()) {
            if (nowMs >= machine.leaseEndMs) reconciler.recordTerminationOfAll(machine.id)
        }
        for (id in jobTable.machinesInUse.toList()) {
            if (id !in inventory.machines && nowMs >= registry.inheritedLeaseEndMs) reconciler.recordTerminationOfAll(id)
        }
    }

    /**
     * Where heartbeats arrive through followers but direct commands don't reach the machines, a controller that reaches them serves better.
     * Without this a leader that keeps the key-value store and loses only its machines takes all of them for silent, and
     * terminates them.
     */
    private fun transferLeadershipIfUnreachable() {
        if (!directReachability.isCut(context.now.steadyMs)) return
        context.stepDown("direct commands don't reach machines that report to others", transferLeadership = true)
    }
}
