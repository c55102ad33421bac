package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.PlacementStatistics
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.capacity.CloudInventoryHandler
import cleathitch.scheduler.capacity.CloudRequests
import cleathitch.scheduler.capacity.FleetScaler
import cleathitch.scheduler.capacity.ScaleInCandidates
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.log.StoreHealth
import cleathitch.scheduler.log.StoredSizes
import cleathitch.scheduler.machines.CommandDispatcher
import cleathitch.scheduler.machines.DirectReachability
import cleathitch.scheduler.machines.FailureDetector
import cleathitch.scheduler.machines.FleetMonitor
import cleathitch.scheduler.machines.HeartbeatHandler
import cleathitch.scheduler.machines.HeartbeatReconciler
import cleathitch.scheduler.machines.ImageCacheHints
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.MachineRegistry
import cleathitch.scheduler.machines.WorkerReconciler
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.requests.JobRequests

/**
 * The scheduler as a deterministic state machine for one leadership term. [handle] consumes a batch of inputs and returns
 * the effects to execute, in order. It reads no clock, draws no random numbers and does no I/O. Confined to the leader's event loop.
 *
 * Events are applied to the state in memory immediately, but no output that depends on an event is emitted before the event's
 * record is committed: replies wait in [JobRequests], worker commands in [CommandDispatcher], calls to the cloud provider in
 * [CloudRequests].
 *
 * This class creates the components and dispatches inputs to them; each component owns its state.
 */
class Scheduler(
    deployment: Deployment,
    private val timings: SchedulerTimings,
    term: Term,
    recovered: RecoveredState,
    start: ClockReading,
    sizes: StoredSizes,
    /**
     * The least severe level that is logged. Less severe log lines aren't formatted at all, because formatting one for every state
     * change of every task is costly.
     */
    private val logLevel: LogLevel = LogLevel.DEBUG,
    /** What this process has learnt about the key-value store in this and earlier terms. */
    storeHealth: StoreHealth = StoreHealth(deployment.storeLimits),
) {
    private val effects = ArrayList<Effect>()
    private var now = start
    private var hasSteppedDown = false
    private var lastFleetCheckMs = 0L
    private val context: SchedulerContext = Context()

    private val jobTable = JobTable()
    private val inventory = Inventory(deployment)
    private val scaleInCandidates = ScaleInCandidates(deployment, inventory, jobTable)
    private val quota = Quota(deployment.teams, jobTable)
    private val decisionLog = DecisionLog(storeHealth, sizes)
    private val lease = TermLease(context, timings, inventory, start, isFirstTerm = recovered.head == LogIndex.NONE)
    private val logWriter = LogWriter(context, deployment.storeWritesPerS, timings, term, decisionLog, storeHealth, jobTable, inventory)

    private val registry = MachineRegistry(context, deployment, timings, inventory, start)
    private val cloudRequests = CloudRequests(
        context,
        deployment,
        timings,
        inventory,
        decisionLog,
        term,
        isTerminated = registry::isTerminated,
        register = { id, offer -> registry.register(id, offer, now.monotonicMs) },
    )
    private val failureDetector =
        FailureDetector(context, inventory, jobTable, timings, start.monotonicMs, cloudRequests::requestTermination)
    private val workerReconciler = WorkerReconciler(jobTable, decisionLog)
    private val dispatcher = CommandDispatcher(context, term, jobTable, inventory, decisionLog, workerReconciler, failureDetector)
    private val jobRequests = JobRequests(
        context,
        jobTable,
        decisionLog,
        inventory,
        quota,
        deployment.teams,
        timings.maxCommitWaitMs,
        dispatcher::stopOnceCommitted,
    )
    private val reconciler =
        HeartbeatReconciler(context, deployment, timings, inventory, jobTable, workerReconciler, failureDetector)
    private val directReachability = DirectReachability(timings.probeAfterMs)
    private val imageCacheHints = ImageCacheHints(context, timings, inventory, start)
    private val heartbeatHandler =
        HeartbeatHandler(context, inventory, jobTable, registry, reconciler, dispatcher, directReachability, imageCacheHints)
    private val fleetMonitor = FleetMonitor(
        context,
        timings,
        inventory,
        jobTable,
        registry,
        reconciler,
        failureDetector,
        directReachability,
        start,
        findOverdueBootingMachines = { scaleInCandidates.overdueBootingMachines(this.now.monotonicMs, lease.answeringSinceMs) },
        terminate = cloudRequests::requestTermination,
    )

    private val cloudInventoryHandler = CloudInventoryHandler(context, inventory, registry, reconciler, failureDetector, cloudRequests)
    private val fleetScaler = FleetScaler(context, deployment, inventory, scaleInCandidates, cloudInventoryHandler, cloudRequests)
    private val schedulingRound =
        SchedulingRound(context, deployment, timings, jobTable, inventory, quota, decisionLog, dispatcher, failureDetector)

    init {
        StateRecovery(jobTable, inventory, decisionLog).restore(recovered, dispatcher.firstToken)
    }

    /** Number of jobs that aren't archived. Compaction archives a job once it is in a terminal state and has no live attempts. */
    val openJobCount: Int get() = jobTable.jobs.size

    /** Number of machines known to be rented. */
    val machineCount: Int get() = inventory.machines.size

    /** Number of (placement class, machine) pairs evaluated in all rounds so far; measures the cost of scheduling. */
    val candidatesEvaluated: Long get() = schedulingRound.candidatesEvaluated

    /** What the scheduling rounds of this term have done so far. */
    val placementStatistics: PlacementStatistics get() = schedulingRound.statistics

    /** Processes [batch] as of time [now] and returns the effects to execute, in order. */
    fun handle(batch: List<Input>, now: ClockReading): List<Effect> {
        this.now = now
        effects.clear()
        lease.updateAnsweringPeriod()
        for (input in batch) if (!hasSteppedDown) dispatch(input)
        if (!hasSteppedDown) {
            checkFleetIfDue()
            if (lease.mayPlaceTasks()) schedulingRound.runIfDue()
            fleetScaler.scale(schedulingRound.demands)
            jobRequests.expirePendingReplies()
            logWriter.write()
        }
        return effects.toList()
    }

    private fun dispatch(input: Input) {
        when (input) {
            is Input.Submit -> jobRequests.submit(input)
            is Input.Poll -> jobRequests.poll(input)
            is Input.Cancel -> jobRequests.cancel(input)
            is Input.HeartbeatReceived -> heartbeatHandler.onHeartbeatReceived(input)
            is Input.FollowerBatchReceived -> followerBatchReceived(input)
            is Input.ProbeAnswered -> heartbeatHandler.onProbeAnswered(input.heartbeat)
            is Input.DirectCallUnanswered -> heartbeatHandler.onDirectCallUnanswered(input.machine)
            is Input.LeaseRenewed -> lease.renew(input.untilMs)
            is Input.CommitSucceeded -> commitSucceeded(input)
            is Input.CommitRejected -> logWriter.recordRejection(input.index, input.size)
            is Input.MachineTypesListed -> cloudInventoryHandler.onMachineTypesListed(input.types)
            is Input.MachinesListed -> cloudInventoryHandler.onMachinesListed(input.machines)
            is Input.RentalCompleted -> cloudRequests.onRentalAnswer(input)
            is Input.MachinesTerminated -> cloudInventoryHandler.onMachinesTerminated(input.machines)
            is Input.ImageCacheHintsReceived -> imageCacheHints.receive(input.images)
            Input.Tick -> Unit
        }
    }

    private fun followerBatchReceived(input: Input.FollowerBatchReceived) {
        val decisions = input.heartbeats.map(heartbeatHandler::decideForwarded)
        val statuses = input.polls.map {
            if (hasSteppedDown) UserReply.Unavailable("this controller is no longer the leader") else jobRequests.currentStatus(it)
        }
        effects += Effect.AnswerFollower(input.request, decisions, statuses)
    }

    /** Sends the output that waited for the commit. Stops are sent before replies, because a reply may confirm a cancellation. */
    private fun commitSucceeded(input: Input.CommitSucceeded) {
        logWriter.recordCommit(input.index)
        dispatcher.recordRevision(input.revision)
        dispatcher.sendCommittedStops()
        jobRequests.sendCommittedReplies()
        dispatcher.sendCommittedPushes()
        cloudRequests.sendDue()
    }

    /**
     * Runs the checks that iterate over all machines. They run once per period and not for every batch, because the cost of a batch
     * should not grow with the number of machines.
     */
    private fun checkFleetIfDue() {
        if (now.monotonicMs - lastFleetCheckMs < timings.fleetCheckPeriodMs) return
        lastFleetCheckMs = now.monotonicMs
        fleetMonitor.checkFleet()
        if (lease.isHeld()) dispatcher.sendPendingStops()
        cloudRequests.sendDue()
        imageCacheHints.shareIfDue()
    }

    /** The part of the term's state that the components share. */
    private inner class Context : SchedulerContext {
        override val now get() = this@Scheduler.now
        override val answeringSinceMs get() = lease.answeringSinceMs
        override val leaseRenewedMs get() = lease.renewedMs
        override val hasSteppedDown get() = this@Scheduler.hasSteppedDown

        override fun isLeaseHeld() = lease.isHeld()
        override fun mayAnswerMachines() = lease.mayAnswerMachines()
        override fun mayPlaceTasks() = lease.mayPlaceTasks()
        override fun isFleetObserved() = lease.isFleetObserved()
        override fun isCommitStalled() = logWriter.isCommitStalled()
        override fun append(event: Event) = logWriter.append(event)
        override fun isLogged(level: LogLevel) = level <= logLevel

        override fun emit(effect: Effect) {
            effects += effect
        }

        override fun stepDown(reason: String, transferLeadership: Boolean) {
            this@Scheduler.hasSteppedDown = true
            emit(Effect.StepDown(reason, transferLeadership))
        }
    }
}
