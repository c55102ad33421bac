package cleathitch.scheduler

import cleathitch.scheduler.api.PlacementStatistics
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.capacity.DemandForecast
import cleathitch.scheduler.capacity.MachineDemand
import cleathitch.scheduler.capacity.ReclaimPolicy
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.machines.CommandDispatcher
import cleathitch.scheduler.machines.FailureDetector
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.placement.BorrowedCapacity
import cleathitch.scheduler.placement.PlacementRound
import cleathitch.scheduler.placement.SchedulingOrder

/**
 * The periodic scheduling round: places waiting tasks on machines with free capacity, preempts lower-priority tasks for production
 * jobs, and computes the remaining demand for machines. Confined to the leader's event loop.
 */
// All parameters are dependencies; grouping them in one object would only hide them.
@Suppress("LongParameterList")
internal class SchedulingRound(
    private val context: SchedulerContext,
    private val deployment: Deployment,
    private val timings: SchedulerTimings,
    private val jobTable: JobTable,
    private val inventory: Inventory,
    private val quota: Quota,
    private val decisionLog: DecisionLog,
    private val dispatcher: CommandDispatcher,
    private val failureDetector: FailureDetector,
) {
    /** Completion-time objectives in seconds, ascending, by job class name. */
    private val completionObjectives = deployment.objectives.filterIsInstance<Objective.Completion>().sortedBy { it.deadlineS }
        .groupBy({ it.className }, { it.deadlineS })
    private val waitReasons = WaitReasonLog(context)
    private val preemptor = Preemptor(context, timings, inventory, quota, dispatcher)
    private var lastRoundMs = 0L

    /** What the rounds have done so far. */
    val statistics get() = PlacementStatistics(
        waitReasons.jobsByReason,
        preemptor.preemptions,
        preemptor.startsInFreedRoom,
        preemptor.wastedPreemptions,
    )

    /** Demand for new machines by the tasks that the last round couldn't place. */
    var demands: List<MachineDemand> = emptyList()
        private set

    /** Number of (placement class, machine) pairs evaluated in all rounds so far; measures the cost of scheduling. */
    var candidatesEvaluated = 0L
        private set

    /**
     * Runs a round once per period, but not while a commit is in flight or many records are pending: a decision could be outdated by
     * the time its record is committed.
     */
    fun runIfDue() {
        if (context.now.monotonicMs - lastRoundMs < timings.roundPeriodMs ||
            !decisionLog.isIdle ||
            decisionLog.pendingRecordCount > MAX_PENDING_RECORDS
        ) {
            return
        }
        lastRoundMs = context.now.monotonicMs
        val waiting = jobTable.jobs.filter { it.waitingTasks > 0 && it.retryNotBeforeMs <= context.now.monotonicMs }
        if (waiting.isEmpty()) preemptor.dropUnusableNominations(waiting, emptyList())
        if (waiting.isEmpty()) demands = emptyList() else run(waiting)
        waitReasons.endRound()
    }

    private fun run(waiting: List<Job>) {
        val machines = inventory.machines.values.filter(::isUsable)
        preemptor.dropUnusableNominations(waiting, machines)
        val borrowedCapacity = BorrowedCapacity(deployment.teams, jobTable)
        val round = PlacementRound(jobTable, machines, context.now.monotonicMs, preemptor.nominations, borrowedCapacity)
        val reclaimPolicy = ReclaimPolicy(deployment.objectives, deployment.teams, inventory, jobTable, context.now)
        val placer = JobPlacer(context, inventory, quota, decisionLog, dispatcher, waitReasons, preemptor, reclaimPolicy, round)
        val jobs = SchedulingOrder(completionObjectives, quota, context.now.wallMs).order(waiting)
        // Overdue jobs come first, with one task each or the whole gang, so that every job starts in time however long the queue is.
        for (job in jobs) if (SchedulingOrder.isOverdue(job, context.now.wallMs)) placer.placeFirst(job)
        for (job in jobs) placer.place(job)
        demands = DemandForecast(inventory, jobTable, completionObjectives).demands(placer.unplacedTasks)
        candidatesEvaluated += round.candidatesEvaluated
    }

    private fun isUsable(machine: Machine) = machine.state == MachineState.UP &&
        machine.preemptionAtMs == null &&
        machine.fullUntilMs <= context.now.monotonicMs &&
        machine.isExistenceConfirmed &&
        failureDetector.isReachable(machine) &&
        failureDetector.timeSinceContactMs(machine) < timings.probeAfterMs

    private companion object {
        /** No round runs while more records than this are pending. */
        const val MAX_PENDING_RECORDS = 2
    }
}
