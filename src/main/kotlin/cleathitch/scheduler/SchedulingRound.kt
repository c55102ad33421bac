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
 * The periodic scheduling round: starts waiting tasks where they find room, preempts for production work, and computes what
 * demand for machines is left. Confined to the leader's event loop.
 */
// The collaborators of one step; an object that groups them would only hide what the step depends on.
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
    /** The seconds within which a class's jobs should be finished, ascending, by class name. */
    private val completionObjectives = deployment.objectives.filterIsInstance<Objective.Finished>().sortedBy { it.deadlineS }
        .groupBy({ it.className }, { it.deadlineS })
    private var lastRoundMs = 0L

    /** What the tasks that found no room in the last round demand of new machines. */
    var demands: List<MachineDemand> = emptyList()
        private set

    /** Pairs of task class and machine that all rounds have evaluated: the measure of what a round costs. */
    var candidatesEvaluated = 0L
        private set

    /** Runs a round once a period, unless the log is behind: a decision that waits for a commit could go stale. */
    fun runIfDue() {
        if (context.now.steadyMs - lastRoundMs < timings.roundMs ||
            !decisionLog.isIdle ||
            decisionLog.pendingRecordCount > MAX_BACKLOG
        ) {
            return
        }
        lastRoundMs = context.now.steadyMs
        val waiting = jobTable.jobs.filter { it.waitingTasks > 0 && it.retryNotBeforeMs <= context.now.steadyMs }
        if (waiting.isEmpty()) demands = emptyList() else run(waiting)
    }

    private fun run(waiting: List<Job>) {
        val candidates = PlacementRound(inventory, jobTable, inventory.machines.values.filter(::isUsable), context.now.steadyMs)
        val round = Round(candidates)
        val jobs = SchedulingOrder(completionObjectives, quota, context.now.wallMs).order(waiting)
        // Each job starts in time however long the queue: overdue ones get their first task before the rest.
        for (job in jobs) if (SchedulingOrder.isOverdue(job, context.now.wallMs)) round.place(job, limit = 1)
        round.unplacedTasks.clear()
        for (job in jobs) round.place(job)
        demands = DemandForecast(inventory, jobTable, completionObjectives).demands(round.unplacedTasks)
        candidatesEvaluated += candidates.candidatesEvaluated
    }

    private fun isUsable(machine: Machine) = machine.state == MachineState.UP &&
        machine.preemptionAtMs == null &&
        machine.fullUntilMs <= context.now.steadyMs &&
        machine.isConfirmed &&
        failureDetector.isReachable(machine) &&
        failureDetector.silentForMs(machine) < timings.probeMs

    /** The state of one round: the room that is left, and the tasks that found none. */
    private inner class Round(private val candidates: PlacementRound) {
        private val unplaceableClasses = HashSet<PlacementClass>()
        val unplacedTasks = ArrayList<UnplacedTasks>()

        /** Starts up to [limit] waiting tasks of the job; a gang is started whole or not at all. */
        fun place(job: Job, limit: Int = Int.MAX_VALUE) {
            if (job.spec.kind == JobKind.GANG) return placeGang(job)
            var placed = 0
            while (placed < limit) {
                val index = job.nextWaiting() ?: return
                if (!quota.allows(job.spec)) return
                val machine = if (job.spec.placementClass in unplaceableClasses) null else candidates.chooseMachine(job)
                if (machine == null) return recordUnplaced(job)
                start(job, index, machine)
                placed++
            }
        }

        private fun recordUnplaced(job: Job) {
            // A class that fits nowhere for one job fits for no other, unless the job's own tasks restrict the zones.
            if (!job.spec.oneZone && !job.spec.spread) unplaceableClasses += job.spec.placementClass
            val count = minOf(job.waitingTasks, quota.remainingTasks(job.spec))
            val left = count - preempt(job, count)
            if (left > 0) unplacedTasks += UnplacedTasks(job.spec, left)
        }

        /** Stops work of lower priority for up to [count] tasks of a production job; returns for how many that makes room. */
        private fun preempt(job: Job, count: Int): Int {
            if (job.spec.priority != Priority.PRODUCTION || !context.isSettled()) return 0
            val roomMade = candidates.planPreemption(job, count)
            val machines = LinkedHashSet<Machine>()
            for (victim in roomMade.victims) {
                victim.requestStop(StopCause.PREEMPTED)
                context.logEvent(LogLevel.DEBUG) {
                    "event=attempt_preempted attempt=${victim.id} machine=${victim.machine} for_job=${job.id}"
                }
                inventory.machines[victim.machine]?.let { machines += it }
            }
            machines.forEach(dispatcher::push)
            return roomMade.tasks
        }

        /** Starts the gang once all its tasks find room and nothing is left of an earlier start. */
        private fun placeGang(job: Job) {
            if (job.liveAttempts.isNotEmpty() || quota.remainingTasks(job.spec) < job.waitingTasks) return
            val machines = candidates.chooseGangMachines(job)
            if (machines == null) {
                unplacedTasks += UnplacedTasks(job.spec, job.waitingTasks)
                return
            }
            // The tasks of a gang find each other by the attempt number, so all share one.
            val number = job.lastAttemptNumber + 1
            decisionLog.reserveRoomFor(machines.mapIndexed { index, machine -> Event.AttemptStarted(job.id, index, number, machine.id) })
            for (machine in machines) start(job, job.nextWaiting() ?: return, machine, number)
        }
    }

    private fun start(job: Job, index: Int, machine: Machine, number: Long = job.lastAttemptNumber + 1) {
        val recordIndex = context.append(Event.AttemptStarted(job.id, index, number, machine.id))
        machine.recordUse(context.now.steadyMs)
        dispatcher.pushAfter(recordIndex, machine.id)
        context.logEvent(LogLevel.DEBUG) {
            "event=attempt_started attempt=${job.id}/$index#${job.lastAttemptNumber} machine=${machine.id} record=${recordIndex.number}"
        }
    }

    private companion object {
        /** Rounds pause while more records than these wait for a commit. */
        const val MAX_BACKLOG = 2
    }
}
