package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.capacity.CloudRequests
import cleathitch.scheduler.capacity.DemandForecast
import cleathitch.scheduler.capacity.UnplacedTasks
import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.jobs.StopCause
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.machines.CommandDispatcher
import cleathitch.scheduler.machines.DirectReachability
import cleathitch.scheduler.machines.FailureDetector
import cleathitch.scheduler.machines.HeartbeatIntake
import cleathitch.scheduler.machines.HeartbeatReconciler
import cleathitch.scheduler.machines.ImageCacheHints
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.machines.MachineRegistry
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.machines.WorkerReconciler
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.ListedMachine
import cleathitch.scheduler.model.ListedState
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.placement.Placement
import cleathitch.scheduler.placement.SchedulingOrder
import cleathitch.scheduler.requests.JobRequests

/**
 * The leader's mind during one term: takes commands in batches and yields effects. It has no clock,
 * no randomness and no connections of its own.
 *
 * Events change the state in memory at once, but nothing that depends on one leaves the engine before
 * its record is committed: answers wait with [users], orders look at [DecisionLog.committed].
 */
class Scheduler(
    private val deployment: Deployment,
    private val timings: SchedulerTimings,
    private val term: Term,
    snapshot: RecoveredState,
    start: ClockReading,
    sizes: DecisionLog.Sizes,
    /** Notes below this level aren't written at all: a text for each task's each step is work, too. */
    private val logLevel: LogLevel = LogLevel.DEBUG,
) {
    private val jobTable = JobTable()
    private val fleet = Inventory(deployment, jobTable)
    private val quota = Quota(deployment.teams, jobTable)
    private val decisionLog = DecisionLog(deployment, sizes)
    private val placement = Placement(fleet, jobTable)

    /** For each class, within how many seconds its jobs should be finished, the first aim first. */
    private val completionObjectives = deployment.objectives.filterIsInstance<Objective.Finished>().sortedBy { it.deadlineS }
        .groupBy({ it.className }, { it.deadlineS })
    private val effects = ArrayList<Effect>()
    private val context: SchedulerContext = object : SchedulerContext {
        override val now get() = this@Scheduler.now
        override val listeningSinceMs get() = lease.listeningSinceMs
        override fun leaseHeld() = lease.isHeld()
        override fun stalled() = logWriter.isStalled()
        override fun append(event: Event) = logWriter.append(event)
        override fun stopAfter(seq: LogIndex, attempts: Collection<Attempt>) = dispatcher.stopAfter(seq, attempts)
        override fun emit(effect: Effect) {
            effects += effect
        }
        override val hasSteppedDown get() = this@Scheduler.hasSteppedDown
        override fun mayAnswerMachines() = lease.mayAnswerMachines()
        override fun mayPlace() = lease.mayPlace()
        override fun isSettled() = lease.isSettled()
        override fun stepDown(reason: String, transferLeadership: Boolean) = this@Scheduler.stepDown(reason, transferLeadership)
        override fun isLogged(level: LogLevel) = level <= logLevel
    }
    private val lease = TermLease(context, timings, fleet, start, isFirstTerm = snapshot.head == LogIndex.NONE)
    private val logWriter = LogWriter(context, deployment, timings, term, decisionLog, jobTable, fleet, start)
    private val jobRequests = JobRequests(context, jobTable, decisionLog, fleet, quota, deployment.teams, timings.intakeMs)
    private val workerReconciler = WorkerReconciler(jobTable, decisionLog)
    private val registry = MachineRegistry(context, deployment, timings, fleet, start)
    private val cloudRequests = CloudRequests(
        context,
        deployment,
        timings,
        fleet,
        decisionLog,
        term,
        isGone = registry::isTerminated,
        adopt = { id, offer -> registry.register(id, offer, now.steadyMs) },
    )
    private val failureDetector = FailureDetector(context, fleet, jobTable, timings, start.steadyMs, cloudRequests::retire)

    private val dispatcher = CommandDispatcher(context, term, jobTable, fleet, decisionLog, workerReconciler, failureDetector)
    private val reconciler =
        HeartbeatReconciler(context, deployment, timings, fleet, jobTable, workerReconciler, failureDetector)
    private val directReachability = DirectReachability(timings.probeMs)
    private val imageCacheHints = ImageCacheHints(context, timings, fleet, start)
    private val heartbeats =
        HeartbeatIntake(context, fleet, jobTable, registry, reconciler, dispatcher, directReachability, imageCacheHints)

    private var now = start
    private val startedMs = start.steadyMs

    private var lastRoundMs = 0L
    private var lastWatchMs = 0L
    private var lastFleetMs = 0L

    private var fleetListed = false

    private var demands: List<Inventory.Demand> = emptyList()
    private var hasSteppedDown = false

    init {
        StateRecovery(jobTable, fleet, decisionLog).restore(snapshot, dispatcher.firstToken)
    }

    val openJobs get() = jobTable.jobs.size
    val machineCount get() = fleet.machines.size

    /** How often rounds weighed a task against a machine: what a round's time grows with. */
    var candidatesEvaluated = 0L
        private set

    fun handle(batch: List<Input>, now: ClockReading): List<Effect> {
        this.now = now
        effects.clear()
        lease.observeTime()
        for (command in batch) if (!hasSteppedDown) take(command)
        if (!hasSteppedDown) {
            // What looks at every machine is done now and then; a batch costs what its commands change.
            if (now.steadyMs - lastWatchMs >= timings.watchMs) {
                lastWatchMs = now.steadyMs
                watchMachines()
                if (lease.isHeld()) dispatcher.sendPendingStops()
                cloudRequests.send()
                imageCacheHints.shareIfDue()
            }
            if (lease.mayPlace()) round()
            resizeFleet()
            jobRequests.expire()
            logWriter.write()
        }
        return effects.toList()
    }

    private fun take(command: Input) {
        when (command) {
            is Input.Submit -> jobRequests.submit(command)
            is Input.Poll -> jobRequests.poll(command)
            is Input.Cancel -> jobRequests.abort(command)
            is Input.HeartbeatReceived -> heartbeats.heartbeatReceived(command)
            is Input.FollowerBatchReceived -> followerBatch(command)
            is Input.ProbeAnswered -> heartbeats.probeAnswered(command.report)
            is Input.DirectCallUnanswered -> heartbeats.directCallUnanswered(command.machine)
            is Input.LeaseRenewed -> lease.renew(command.untilMs)
            is Input.CommitSucceeded -> committed(command)
            is Input.MachineTypesListed -> typesListed(command.types)
            is Input.MachinesListed -> {
                command.machines.forEach(::listed)
                fleetListed = true
            }
            is Input.RentalCompleted -> cloudRequests.rentalAnswered(command)
            is Input.MachinesTerminated -> command.machines.forEach { confirmGone(it) }
            is Input.ImageCacheHintsReceived -> imageCacheHints.receive(command.images)
            Input.Tick -> Unit
        }
    }

    private fun committed(command: Input.CommitSucceeded) {
        logWriter.recordCommit(command.seq)
        dispatcher.recordRevision(command.revision)
        dispatcher.sendCommittedStops()
        jobRequests.committed()
        dispatcher.sendCommittedPushes()
        cloudRequests.send()
    }

    // ---- machines

    private fun followerBatch(command: Input.FollowerBatchReceived) {
        val decisions = command.reports.map(heartbeats::decideForwarded)
        val statuses = command.polls.map {
            if (hasSteppedDown) UserReply.Unavailable("not the leader any more") else jobRequests.currentStatus(it)
        }
        effects += Effect.AnswerFollower(command.request, decisions, statuses)
    }

    private fun watchMachines() {
        for (machine in fleet.machines.values.toList()) {
            if (now.steadyMs >= machine.leaseEndMs) {
                reconciler.recordTerminationOfAll(machine.id)
            }
        }
        for (id in jobTable.machinesInUse.toList()) {
            if (id !in fleet.machines && now.steadyMs >= registry.inheritedLeaseEndMs) reconciler.recordTerminationOfAll(id)
        }
        if (lease.isHeld() && now.steadyMs - startedMs < timings.failoverMs) failureDetector.probeUnheard()
        if (!lease.isSettled()) return
        fleet.machines.values.forEach(failureDetector::suspectIfRunning)
        transferLeadershipIfUnreachable()
        if (hasSteppedDown) return
        failureDetector.findSilent()
        failureDetector.findMachinesMissingReplies()
        fleet.overdueBoots(now.steadyMs, lease.listeningSinceMs).forEach { cloudRequests.retire(it.id, "it never came up") }
    }

    /**
     * Machines that report through followers don't get direct commands: a node with a whole path to them serves better.
     * A leader that kept the state service and lost only its machines once took all of them for silent, and returned them.
     */
    private fun transferLeadershipIfUnreachable() {
        if (directReachability.isCut(
                now.steadyMs,
            )
        ) {
            stepDown("direct commands don't reach machines that report to others", transferLeadership = true)
        }
    }

    private fun confirmGone(id: MachineId) {
        if (id !in fleet.retired) return
        reconciler.recordTerminationOfAll(id)
        context.append(Event.MachineTerminated(id))
        cloudRequests.returned(id)
        registry.recordTerminated(id)
    }

    // ---- the cloud

    private fun typesListed(types: List<MachineType>) {
        fleet.types = types.associateBy { it.name }
    }

    private fun listed(listed: ListedMachine) {
        if (registry.isTerminated(listed.machine)) return
        val machine = fleet.machines[listed.machine] ?: registry.register(
            listed.machine,
            listed.offer,
            now.steadyMs - (listed.ageS * 1000).toLong(),
        )
        machine.listedRunning = listed.state == ListedState.RUNNING
        if (machine.address == null) machine.address = listed.address
        failureDetector.suspectIfRunning(machine)
        if (listed.state == ListedState.FAILED && machine.state != MachineState.RETIRED && lease.isSettled()) {
            cloudRequests.retire(machine.id, "it has failed")
        }
    }

    // ---- decisions

    private fun round() {
        if (now.steadyMs - lastRoundMs < timings.roundMs || !decisionLog.idle || decisionLog.backlog > MAX_BACKLOG) return
        lastRoundMs = now.steadyMs
        val waiting = jobTable.jobs.filter { it.waiting > 0 && it.notBeforeMs <= now.steadyMs }
        if (waiting.isEmpty()) {
            demands = emptyList()
            return
        }
        val usable = fleet.machines.values.filter(::usable)
        val look = placement.Look(usable, now.steadyMs)
        val unplaceableClasses = HashSet<PlacementClass>()
        val unplaced = ArrayList<UnplacedTasks>()
        val jobs = SchedulingOrder(completionObjectives, quota, now.wallMs).order(waiting)
        // However long the queue, each job begins in time: overdue ones get their first task before the rest.
        for (job in jobs) if (SchedulingOrder.overdue(job, now.wallMs)) place(job, look, unplaceableClasses, unplaced, most = 1)
        unplaced.clear()
        for (job in jobs) place(job, look, unplaceableClasses, unplaced)
        demands = DemandForecast(fleet, jobTable, completionObjectives).demands(unplaced)
        candidatesEvaluated += look.candidatesEvaluated
    }

    private fun usable(machine: Machine) = machine.state == MachineState.UP &&
        machine.preemptionAtMs == null &&
        machine.fullUntilMs <= now.steadyMs &&
        machine.confirmed &&
        failureDetector.isReachable(machine) &&
        failureDetector.silentForMs(machine) < timings.probeMs

    private fun place(
        job: Job,
        look: Placement.Look,
        unplaceableClasses: MutableSet<PlacementClass>,
        unplaced: MutableList<UnplacedTasks>,
        most: Int = Int.MAX_VALUE,
    ) {
        val shape = job.spec.placementClass
        if (job.spec.kind == JobKind.GANG) return placeGang(job, look, unplaced)
        var placed = 0
        while (placed < most) {
            val index = job.nextWaiting() ?: return
            if (!quota.allows(job.spec)) return
            val machine = if (shape in unplaceableClasses) null else look.choose(job)
            if (machine == null) {
                // What fits nowhere for one job fits nowhere for its like, unless other tasks of the job decide.
                if (!job.spec.oneZone && !job.spec.spread) unplaceableClasses += shape
                val count = minOf(job.waiting, quota.roomFor(job.spec))
                val left = count - preempt(job, look, count)
                if (left > 0) unplaced += UnplacedTasks(job.spec, left)
                return
            }
            start(job, index, machine)
            placed++
        }
    }

    /** Makes room for a job's next tasks by stopping work of lower priority, as the page allows; tells for how many. */
    private fun preempt(job: Job, look: Placement.Look, count: Int): Int {
        if (job.spec.priority != Priority.PRODUCTION || !lease.isSettled()) return 0
        val machines = LinkedHashSet<Machine>()
        val made = look.makeRoom(job, count)
        for (victim in made.victims) {
            victim.stop = StopCause.PREEMPTED
            logEvent(LogLevel.DEBUG) { "task ${victim.id} on machine ${victim.machine} makes room for job ${job.id}" }
            fleet.machines[victim.machine]?.let { machines += it }
        }
        machines.forEach(dispatcher::push)
        return made.tasks
    }

    /** A gang is started whole, and again only when nothing of an earlier start is left. */
    private fun placeGang(job: Job, look: Placement.Look, unplaced: MutableList<UnplacedTasks>) {
        if (job.live.isNotEmpty() || quota.roomFor(job.spec) < job.waiting) return
        val machines = look.chooseAll(job)
        if (machines == null) {
            unplaced += UnplacedTasks(job.spec, job.waiting)
            return
        }
        // The tasks of a gang find each other by their attempt, so one number serves them all.
        val number = job.lastNumber + 1
        decisionLog.keepTogether(machines.mapIndexed { index, machine -> Event.AttemptStarted(job.id, index, number, machine.id) })
        for (machine in machines) start(job, job.nextWaiting() ?: return, machine, number)
    }

    private fun start(job: Job, index: Int, machine: Machine, number: Long = job.lastNumber + 1) {
        val seq = context.append(Event.AttemptStarted(job.id, index, number, machine.id))
        machine.idleSinceMs = now.steadyMs
        dispatcher.pushAfter(seq, machine.id)
        logEvent(LogLevel.DEBUG) { "task ${job.id}/$index#${job.lastNumber} goes to machine ${machine.id} with record $seq" }
    }

    private fun resizeFleet() {
        // The cloud's list tells as well as reports what there is: what hasn't reported counts as on its way.
        if (!lease.isSettled() && !(lease.mayPlace() && fleetListed) || now.steadyMs - lastFleetMs < FLEET_ROUND_MS) return
        lastFleetMs = now.steadyMs
        val room = (deployment.cloudRps / 2).toInt().coerceAtLeast(1) - fleet.rentals.size
        if (room > 0) {
            for ((offer, count) in fleet.wanted(demands, now.steadyMs, room)) {
                cloudRequests.rent(offer, count)
            }
        }
        if (!lease.isSettled()) return
        fleet.idle(now.steadyMs, lease.listeningSinceMs).forEach { cloudRequests.retire(it.id, "it is idle") }
    }

    private fun stepDown(reason: String, transferLeadership: Boolean = false) {
        hasSteppedDown = true
        effects += Effect.StepDown(reason, transferLeadership)
    }

    private inline fun logEvent(level: LogLevel, text: () -> String) {
        if (level <= logLevel) effects += Effect.Log(level, text())
    }

    private companion object {
        /** Rounds wait while more records than these wait to be written. */
        const val MAX_BACKLOG = 2

        /** The fleet is looked at about as often as machines' lists can show anything new. */
        const val FLEET_ROUND_MS = 1000L
    }
}
