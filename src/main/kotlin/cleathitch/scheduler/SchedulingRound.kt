package cleathitch.scheduler

import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.capacity.DemandForecast
import cleathitch.scheduler.capacity.MachineDemand
import cleathitch.scheduler.capacity.UnplacedTasks
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.jobs.StopCause
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.machines.CommandDispatcher
import cleathitch.scheduler.machines.FailureDetector
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.Priority
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
    deployment: Deployment,
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
    private var lastRoundMs = 0L

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
        if (waiting.isEmpty()) demands = emptyList() else run(waiting)
    }

    private fun run(waiting: List<Job>) {
        val candidates = PlacementRound(inventory, jobTable, inventory.machines.values.filter(::isUsable), context.now.monotonicMs)
        val round = Round(candidates)
        val jobs = SchedulingOrder(completionObjectives, quota, context.now.wallMs).order(waiting)
        // Overdue jobs come first, with one task each or the whole gang, so that every job starts in time however long the queue is.
        for (job in jobs) if (SchedulingOrder.isOverdue(job, context.now.wallMs)) round.place(job, limit = 1)
        round.unplacedTasks.clear()
        for (job in jobs) round.place(job)
        demands = DemandForecast(inventory, jobTable, completionObjectives).demands(round.unplacedTasks)
        candidatesEvaluated += candidates.candidatesEvaluated
    }

    private fun isUsable(machine: Machine) = machine.state == MachineState.UP &&
        machine.preemptionAtMs == null &&
        machine.fullUntilMs <= context.now.monotonicMs &&
        machine.isExistenceConfirmed &&
        failureDetector.isReachable(machine) &&
        failureDetector.timeSinceContactMs(machine) < timings.probeAfterMs

    /** The state of one round: the remaining capacity, and the tasks that couldn't be placed. */
    private inner class Round(private val candidates: PlacementRound) {
        private val unplaceableClasses = HashSet<PlacementClass>()
        val unplacedTasks = ArrayList<UnplacedTasks>()

        /** Starts up to [limit] waiting tasks of [job]; a gang is started all at once or not at all. */
        fun place(job: Job, limit: Int = Int.MAX_VALUE) {
            if (job.spec.kind == JobKind.GANG) return placeGang(job)
            var placed = 0
            while (placed < limit) {
                val index = job.nextWaitingTask() ?: return
                if (!quota.allows(job.spec)) return
                val machine = if (job.spec.placementClass in unplaceableClasses) null else candidates.chooseMachine(job)
                if (machine == null) return recordUnplaced(job)
                start(job, index, machine)
                placed++
            }
        }

        private fun recordUnplaced(job: Job) {
            // No machine fits the other jobs of this class either, so none is sought for them in this round. This doesn't hold with
            // oneZone or spread: the allowed zones then differ between jobs, depending on where the attempts of each job run.
            if (!job.spec.oneZone && !job.spec.spread) unplaceableClasses += job.spec.placementClass
            val count = minOf(job.waitingTasks, quota.remainingTasks(job.spec))
            val remaining = count - preempt(job, count)
            if (remaining > 0) unplacedTasks += UnplacedTasks(job.spec, remaining)
        }

        /**
         * Preempts lower-priority tasks to make room for up to [count] tasks of a production job. Returns the number of the job's tasks
         * that will fit once all stopping tasks have ended.
         */
        private fun preempt(job: Job, count: Int): Int {
            if (job.spec.priority != Priority.PRODUCTION || !context.isFleetObserved()) return 0
            val plan = candidates.planPreemption(job, count)
            val machines = LinkedHashSet<Machine>()
            for (victim in plan.victims) {
                victim.requestStop(StopCause.PREEMPTED)
                context.logEvent(LogLevel.DEBUG) {
                    "event=attempt_preempted attempt=${victim.id} machine=${victim.machine} for_job=${job.id}"
                }
                inventory.machines[victim.machine]?.let { machines += it }
            }
            machines.forEach(dispatcher::push)
            return plan.tasks
        }

        /** Starts all tasks of a gang together, provided that all can be placed and no earlier attempts are live. */
        private fun placeGang(job: Job) {
            if (job.liveAttempts.isNotEmpty() || quota.remainingTasks(job.spec) < job.waitingTasks) return
            val machines = candidates.chooseGangMachines(job)
            if (machines == null) {
                unplacedTasks += UnplacedTasks(job.spec, job.waitingTasks)
                return
            }
            // The tasks of a gang discover each other by attempt number, so all share one number.
            val number = job.lastAttemptNumber + 1
            decisionLog.reserveSpaceFor(machines.mapIndexed { index, machine -> Event.AttemptStarted(job.id, index, number, machine.id) })
            for (machine in machines) start(job, job.nextWaitingTask() ?: return, machine, number)
        }
    }

    private fun start(job: Job, index: Int, machine: Machine, number: Long = job.lastAttemptNumber + 1) {
        val recordIndex = context.append(Event.AttemptStarted(job.id, index, number, machine.id))
        machine.recordUse(context.now.monotonicMs)
        dispatcher.pushOnceCommitted(recordIndex, machine.id)
        context.logEvent(LogLevel.DEBUG) {
            "event=attempt_started attempt=${job.id}/$index#${job.lastAttemptNumber} machine=${machine.id} record=${recordIndex.number}"
        }
    }

    private companion object {
        /** No round runs while more records than this are pending. */
        const val MAX_PENDING_RECORDS = 2
    }
}
