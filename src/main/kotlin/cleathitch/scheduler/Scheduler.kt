package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.capacity.CapacityPlanner
import cleathitch.scheduler.capacity.CloudRequests
import cleathitch.scheduler.capacity.DemandForecast
import cleathitch.scheduler.capacity.MachineDemand
import cleathitch.scheduler.capacity.ScaleInCandidates
import cleathitch.scheduler.capacity.UnplacedTasks
import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.jobs.StopCause
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.log.WriteBudget
import cleathitch.scheduler.machines.DirectReachability
import cleathitch.scheduler.machines.FailureDetector
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.machines.WorkerReconciler
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.ListedMachine
import cleathitch.scheduler.model.ListedState
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.model.WorkerCommand
import cleathitch.scheduler.placement.PlacementRound
import cleathitch.scheduler.placement.SchedulingOrder
import cleathitch.scheduler.requests.JobRequests
import java.util.TreeMap

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
    private val fleet = Inventory(deployment)
    private val scaleInCandidates = ScaleInCandidates(deployment, fleet, jobTable)
    private val quota = Quota(deployment.teams, jobTable)
    private val decisionLog = DecisionLog(deployment, sizes)

    /** For each class, within how many seconds its jobs should be finished, the first aim first. */
    private val completionObjectives = deployment.objectives.filterIsInstance<Objective.Finished>().sortedBy { it.deadlineS }
        .groupBy({ it.className }, { it.deadlineS })
    private val effects = ArrayList<Effect>()
    private val context = object : SchedulerContext {
        override val now get() = this@Scheduler.now
        override val listeningSinceMs get() = this@Scheduler.listeningSinceMs
        override fun leaseHeld() = this@Scheduler.leaseHeld()
        override fun stalled() = writeSinceMs?.let { now.steadyMs - it > timings.commitStallMs } == true
        override fun append(event: Event) = this@Scheduler.append(event)
        override fun stopAfter(seq: LogIndex, attempts: Collection<Attempt>) {
            stopsAwaitingCommit.getOrPut(seq) { ArrayList() } += attempts
        }
        override fun emit(effect: Effect) {
            effects += effect
        }
        override fun isLogged(level: LogLevel) = level <= logLevel
    }
    private val jobRequests = JobRequests(context, jobTable, decisionLog, fleet, quota, deployment.teams, timings.maxCommitWaitMs)
    private val commands = WorkerReconciler(jobTable, decisionLog)
    private val cloudRequests = CloudRequests(
        context,
        deployment,
        timings,
        fleet,
        decisionLog,
        term,
        isGone = { it in gone },
        adopt = { id, offer -> adopt(id, offer, now.steadyMs) },
    )
    private val failureDetector = FailureDetector(context, fleet, jobTable, timings, start.steadyMs, cloudRequests::requestTermination)

    /** Machines to which new orders go as soon as a record is committed. */
    private val pushesAwaitingCommit = HashMap<LogIndex, MutableSet<MachineId>>()

    /**
     * Cancelled attempts whose stops go out once the record is committed, and the machines to which they then go, a
     * few at a time. Left to each machine's next report, a task that was just fetching its image began after its
     * user had been told; and where an outage follows at once, only leases would end what runs.
     */
    private val stopsAwaitingCommit = TreeMap<LogIndex, MutableList<Attempt>>()
    private val pendingStops = LinkedHashSet<MachineId>()
    private val gone = LinkedHashSet<MachineId>()

    private var now = start
    private val startedMs = start.steadyMs

    /**
     * Since when machines' reports are listened to without a break. After an outage of the state service
     * that outlasted our grace, every machine seems to have been silent for as long; none is to blame.
     */
    private var listeningSinceMs = start.steadyMs

    /** Nobody led before: there is nothing of which machines would have to tell first. */
    private val first = snapshot.head == LogIndex.NONE
    private var validUntilMs = start.steadyMs
    private val firstToken = FencingToken.first(term.revision)
    private var token = firstToken
    private var writeSinceMs: Long? = null
    private var lastWriteMs = 0L
    private val budget = WriteBudget(deployment.stateWriteRps * WRITE_SHARE, start.steadyMs)

    /** Something in the journal's queue is waited for. */
    private var urgent = false
    private var trimming = false
    private var lastRoundMs = 0L
    private var lastWatchMs = 0L
    private var lastFleetMs = 0L
    private var lastTrimMs = start.steadyMs

    private val directReachability = DirectReachability(timings.probeMs)
    private var fleetListed = false

    /** Without it a new leader places blindly, and machines fetch again what their neighbours hold. */
    private var imageCacheHints: Map<MachineId, ImageCache> = emptyMap()
    private var lastToldMs = start.steadyMs
    private var demands: List<MachineDemand> = emptyList()
    private var hasSteppedDown = false

    /** Until then a machine that this leader never answered may go on under an older leader's lease. */
    private val inheritedLeaseEndMs =
        start.steadyMs + timings.graceMs + (deployment.leaseS * 1000).toLong() + timings.leaseMarginMs

    init {
        snapshot.finals.forEach { jobTable.restore(it.second) }
        val folded = HashMap<String, LogIndex>()
        snapshot.jobs.forEach { (cell, parts) ->
            jobTable.restore(cell)
            jobTable.job(cell.spec.id)?.partsWritten = parts
            folded[DecisionLog.JOB_PREFIX + cell.spec.id.text] = LogIndex(cell.upTo)
        }
        snapshot.fleet?.let {
            fleet.restore(it)
            folded[DecisionLog.FLEET] = LogIndex(it.upTo)
        }
        for ((seq, record) in snapshot.records) {
            for (event in record.events) replay(event, seq, folded)
        }
        decisionLog.restore(snapshot.head, snapshot.records, snapshot.finals, folded)
        jobTable.jobs.forEach { job ->
            // An older leader's orders may still be on their way, under versions below this term's first.
            job.live.values.forEach { it.inheritedToken = token }
            job.live.values.forEach { if (job.done[it.id.task.index]) it.stop = StopCause.STRAY }
            job.stopIfOver()
        }
    }

    val openJobs get() = jobTable.jobs.size
    val machineCount get() = fleet.machines.size

    /** How often rounds weighed a task against a machine: what a round's time grows with. */
    var candidatesEvaluated = 0L
        private set

    fun handle(batch: List<Input>, now: ClockReading): List<Effect> {
        this.now = now
        effects.clear()
        if (!mayAnswerMachines()) listeningSinceMs = now.steadyMs
        for (command in batch) if (!hasSteppedDown) take(command)
        if (!hasSteppedDown) {
            // What looks at every machine is done now and then; a batch costs what its commands change.
            if (now.steadyMs - lastWatchMs >= timings.watchMs) {
                lastWatchMs = now.steadyMs
                watchMachines()
                if (leaseHeld()) sendStops()
                cloudRequests.sendDue()
                shareImageCacheHints()
            }
            if (mayPlace()) round()
            resizeFleet()
            jobRequests.expire()
            write()
        }
        return effects.toList()
    }

    private fun replay(event: Event, seq: LogIndex, folded: Map<String, LogIndex>) {
        when (event) {
            is Event.JobEvent -> {
                if (jobTable.finalState(event.job) != null) return
                if ((folded[DecisionLog.JOB_PREFIX + event.job.text] ?: LogIndex.NONE) < seq) jobTable.apply(event, seq)
            }
            is Event.InventoryEvent -> if ((folded[DecisionLog.FLEET] ?: LogIndex.NONE) < seq) fleet.apply(event)
        }
    }

    private fun take(command: Input) {
        when (command) {
            is Input.Submit -> jobRequests.submit(command)
            is Input.Poll -> jobRequests.poll(command)
            is Input.Cancel -> jobRequests.cancel(command)
            is Input.HeartbeatReceived -> reported(command)
            is Input.FollowerBatchReceived -> followerBatch(command)
            is Input.ProbeAnswered -> inspected(command.report)
            is Input.DirectCallUnanswered -> fleet.machines[command.machine]?.let { directReachability.unanswered(it, now.steadyMs) }
            is Input.LeaseRenewed -> validUntilMs = maxOf(validUntilMs, command.untilMs)
            is Input.CommitSucceeded -> committed(command)
            is Input.MachineTypesListed -> typesListed(command.types)
            is Input.MachinesListed -> {
                command.machines.forEach(::listed)
                fleetListed = true
            }
            is Input.RentalCompleted -> cloudRequests.onRentalAnswer(command)
            is Input.MachinesTerminated -> command.machines.forEach { confirmGone(it) }
            is Input.ImageCacheHintsReceived -> imageCacheHints = command.images
            Input.Tick -> Unit
        }
    }

    // ---- the journal

    private fun append(event: Event): LogIndex {
        val seq = decisionLog.append(event)
        if (event !is Event.TaskCompleted && event !is Event.AttemptTerminated) urgent = true
        when (event) {
            is Event.JobEvent -> jobTable.apply(event, seq)
            is Event.InventoryEvent -> fleet.apply(event)
        }
        return seq
    }

    /**
     * Writes what somebody waits for at once, and the rest once a round, as far as the state service's
     * budget of changes goes; half of a second's worth of it is never spent on trimming.
     */
    private fun write() {
        if (!decisionLog.idle) return
        if (now.steadyMs - lastTrimMs >= timings.trimMs) {
            lastTrimMs = now.steadyMs
            trimming = true
        }
        val allowed = budget.left(now.steadyMs)
        val trimChanges = if (trimming) minOf(deployment.stateTxnOps / 2, allowed - budget.burst / 2) else 0
        val mayTrim = trimChanges >= LEAST_TRIM
        val due = decisionLog.pending && (urgent || now.steadyMs - lastWriteMs >= timings.roundMs) && allowed >= 2
        if (!due && !mayTrim) return
        val commit = decisionLog.next(term, jobTable, fleet::snapshot, if (mayTrim) trimChanges else 0) ?: return
        if (mayTrim) trimming = decisionLog.trimCutShort
        budget.take(commit.changes.sumOf { if (it is Mutation.Put) it.parts else 1 })
        lastWriteMs = now.steadyMs
        urgent = decisionLog.pending
        writeSinceMs = now.steadyMs
        effects += Effect.Write(commit)
    }

    private fun committed(command: Input.CommitSucceeded) {
        decisionLog.committed(command.seq, jobTable)
        writeSinceMs = null
        token = maxOf(token, FencingToken.first(command.revision))
        while (stopsAwaitingCommit.isNotEmpty() && stopsAwaitingCommit.firstKey() <= decisionLog.committed) {
            // What doesn't run yet goes first: its stop can still forestall the start.
            stopsAwaitingCommit.pollFirstEntry().value.sortedBy { it.seen == TaskState.RUNNING }.mapTo(pendingStops) { it.machine }
        }
        sendStops()
        jobRequests.answerCommitted()
        val machines = pushesAwaitingCommit.filterKeys { it <= decisionLog.committed }
        machines.keys.forEach(pushesAwaitingCommit::remove)
        machines.values.flatMapTo(LinkedHashSet()) { it }.forEach { id -> fleet.machines[id]?.let(::push) }
        cloudRequests.sendDue()
    }

    /** What is left over goes with the next round or the machine's next report, whichever is first. */
    private fun sendStops() {
        val due = pendingStops.take(FailureDetector.MAX_QUESTIONS)
        pendingStops.removeAll(due.toSet())
        due.forEach { id -> fleet.machines[id]?.let { if (it.lastHeardMs == null) failureDetector.probe(it) else push(it) } }
    }

    // ---- what the term allows

    private fun mayAnswerMachines() = now.steadyMs < validUntilMs + timings.graceMs
    private fun leaseHeld() = now.steadyMs < validUntilMs

    // ---- machines

    private fun reported(command: Input.HeartbeatReceived) {
        when (val decision = decide(command.report)) {
            is HeartbeatDecision.Answer -> effects += Effect.AnswerHeartbeat(command.request, decision.token, decision.commands)
            HeartbeatDecision.Refuse, HeartbeatDecision.RequestFull -> effects += Effect.RefuseHeartbeat(command.request)
        }
        // What comes from a machine to this node itself shows that the path between them is whole.
        directReachability.answered()
    }

    private fun followerBatch(command: Input.FollowerBatchReceived) {
        val decisions = command.reports.map(::decideForwarded)
        val statuses = command.polls.map {
            if (hasSteppedDown) UserReply.Unavailable("not the leader any more") else jobRequests.currentStatus(it)
        }
        effects += Effect.AnswerFollower(command.request, decisions, statuses)
    }

    private fun decideForwarded(forwarded: ForwardedHeartbeat): HeartbeatDecision {
        if (hasSteppedDown || !mayAnswerMachines()) return HeartbeatDecision.Refuse
        val decision = when (forwarded) {
            is ForwardedHeartbeat.Full -> decide(forwarded.report)
            is ForwardedHeartbeat.Unchanged -> decideHeartbeat(forwarded)
        }
        if (decision is HeartbeatDecision.Answer) directReachability.reported(fleet.machines.getValue(forwarded.machine))
        return decision
    }

    /** A heartbeat stands for its base with a newer sequence number, and is decided like that report. */
    private fun decideHeartbeat(heartbeat: ForwardedHeartbeat.Unchanged): HeartbeatDecision {
        if (heartbeat.machine in gone) return HeartbeatDecision.Refuse
        val machine = fleet.machines[heartbeat.machine] ?: return HeartbeatDecision.RequestFull
        val report = machine.repeatedBy(heartbeat) ?: return HeartbeatDecision.RequestFull
        return decide(report)
    }

    /** Takes a report in and decides about its answer. */
    private fun decide(report: Heartbeat): HeartbeatDecision {
        if (!mayAnswerMachines() || !observe(report)) return HeartbeatDecision.Refuse
        val machine = fleet.machines.getValue(report.machine)
        machine.lastReportMs = now.steadyMs
        // Its next report shows the version of our last answer, unless that didn't reach it.
        machine.missedReplies = if (report.token < machine.answered) machine.missedReplies + 1 else 0
        val commands = commandsFor(machine)
        if (commands.isNotEmpty()) token = token.next()
        recordSent(machine, commands)
        pendingStops -= machine.id
        machine.answered = token
        return HeartbeatDecision.Answer(token, commands)
    }

    /**
     * Takes in a report; false if it must not be answered, as it is older than one seen before or the
     * machine is gone.
     *
     * Even a report that isn't answered pushes the bound of the machine's lease: its session may just have
     * begun. (A machine first heard of as it took orders directly was once held to have no lease at all,
     * and its tasks were started elsewhere.)
     */
    private fun observe(report: Heartbeat): Boolean {
        if (report.token > token) {
            stepDown("machine ${report.machine} has seen version ${report.token}, ours is $token")
            return false
        }
        if (report.machine in gone) return false
        val machine = fleet.machines[report.machine]
            ?: adopt(report.machine, Offer(report.type, report.zone, report.spot), now.steadyMs)
        if (machine.newerThan(report)) return false
        if (report.incarnation > machine.incarnation) machine.forgetImages()
        if (machine.lastHeardMs == null) {
            imageCacheHints[machine.id]?.takeIf { it.incarnation == report.incarnation }?.sizesGb?.forEach(machine::recordImage)
        }
        machine.address = report.address
        machine.incarnation = report.incarnation
        machine.sequenceNumber = report.sequenceNumber
        machine.token = maxOf(machine.token, report.token)
        if (report.token >= firstToken) machine.confirmed = true
        machine.lastHeardMs = now.steadyMs
        machine.probes = 0
        machine.leaseEndMs = maxOf(machine.leaseEndMs, leaseEndFromNow())
        machine.preemptionAtMs = report.preemptionNoticeS?.let { now.steadyMs + (it * 1000).toLong() }
        machine.reported = report.tasks
        if (machine.state == MachineState.STARTING) {
            machine.state = MachineState.UP
            machine.missedSinceMs = now.steadyMs
            machine.idleSinceMs = now.steadyMs
            logEvent(LogLevel.INFO) { "machine ${machine.id} ${machine.offer} is up" }
        }
        reconcile(machine, report)
        if (machine.preemptionAtMs != null && machine.state == MachineState.UP) drain(machine)
        return true
    }

    /** An answer to us, and so no late copy: the machine lives, and what it lacks can be sent at once. */
    private fun inspected(report: Heartbeat) {
        val first = fleet.machines[report.machine]?.lastHeardMs == null
        if (!observe(report)) return
        val machine = fleet.machines.getValue(report.machine)
        machine.confirmed = true
        directReachability.answered()
        if (first) push(machine)
    }

    private fun leaseEndFromNow() = now.steadyMs + (deployment.leaseS * 1000).toLong() + timings.leaseMarginMs

    private fun adopt(id: MachineId, offer: Offer, rentedAtMs: Long): Machine = fleet.adopt(id, offer, rentedAtMs).also {
        it.leaseEndMs = maxOf(it.leaseEndMs, inheritedLeaseEndMs, leaseEndFromNow())
    }

    private fun reconcile(machine: Machine, report: Heartbeat) {
        val shown = HashSet<AttemptId>()
        for (task in report.tasks) {
            shown += task.attempt
            val attempt = jobTable.attempt(task.attempt)?.takeIf { it.machine == machine.id }
            if (attempt != null) {
                seen(machine, attempt, task)
            } else if (task.state == TaskState.EXITED && task.exitReason == ExitReason.DONE) {
                // A result is kept outside the machine, whichever attempt brought it about.
                jobTable.job(task.attempt.task.job)?.let { finish(machine, it, task.attempt) }
            }
        }
        for (attempt in jobTable.attemptsOn(machine.id).toList()) {
            if (attempt.id in shown) continue
            attempt.seen = null
            // Left to a machine that our answers don't reach, a task would wait there for as long as the way is cut.
            if ((attempt.stop != null || !failureDetector.isReachable(machine)) &&
                commands.isTerminationConfirmed(attempt, machine)
            ) {
                over(attempt)
            }
        }
        commands.shown(machine.id, shown)
        if (jobTable.attemptsOn(machine.id).isNotEmpty()) machine.idleSinceMs = now.steadyMs
    }

    private fun seen(machine: Machine, attempt: Attempt, task: TaskStatus) {
        attempt.seen = task.state
        val job = attempt.job
        when (task.state) {
            TaskState.FETCHING -> Unit
            TaskState.WAITING, TaskState.RUNNING, TaskState.SAVING -> {
                machine.recordImage(job.spec.image, job.spec.imageGb)
                if (attempt.runningSinceMs == null) {
                    attempt.runningSinceMs = now.steadyMs
                    logEvent(LogLevel.DEBUG) { "task ${attempt.id} runs on machine ${machine.id}" }
                }
            }
            TaskState.EXITED -> {
                when (task.exitReason) {
                    ExitReason.DONE -> if (!job.done[attempt.id.task.index]) return finish(machine, job, attempt.id)
                    ExitReason.ERROR -> {
                        machine.faults++
                        delay(job)
                        logEvent(LogLevel.INFO) { "task ${attempt.id} failed on machine ${machine.id} (failure ${machine.faults} there)" }
                    }
                    ExitReason.UNKNOWN -> delay(job)
                    ExitReason.NO_ROOM -> machine.fullUntilMs = now.steadyMs + (deployment.reportS * 1000).toLong()
                    ExitReason.BUSY, ExitReason.STOPPED, ExitReason.PEERS_MISSING, null -> Unit
                }
                if (task.exitReason != ExitReason.DONE) {
                    logEvent(LogLevel.DEBUG) { "task ${attempt.id} ended on machine ${machine.id}: ${task.exitReason}" }
                }
                over(attempt)
            }
        }
    }

    /** A job whose tasks fail is tried ever more rarely, up to once in a lease. */
    private fun delay(job: Job) {
        job.failures++
        val most = (deployment.leaseS * 1000).toLong()
        job.notBeforeMs = now.steadyMs + minOf(most, timings.roundMs shl minOf(job.failures - 1, 20))
    }

    /** A task's result is there; if the job's live attempt of it brought it about, that is over, too. */
    private fun finish(machine: Machine, job: Job, attempt: AttemptId) {
        if (job.done[attempt.task.index]) return
        logEvent(LogLevel.DEBUG) { "task $attempt is done" }
        commands.outcome(machine.id, attempt, append(Event.TaskCompleted(job.id, attempt.task.index, attempt.number)))
        job.failures = 0
        job.live[attempt.task.index]?.stop = StopCause.STRAY
        if (jobTable.attemptsOn(machine.id).isEmpty()) machine.idleSinceMs = now.steadyMs
        job.stopIfOver()
        if (job.finishedSeq != null) logEvent(LogLevel.DEBUG) { "job ${job.id} is done" }
    }

    /** The attempt is surely gone; its task may start again. */
    private fun over(attempt: Attempt) {
        commands.outcome(
            attempt.machine,
            attempt.id,
            append(Event.AttemptTerminated(attempt.id.task.job, attempt.id.task.index, attempt.id.number)),
        )
        val machine = fleet.machines[attempt.machine] ?: return
        if (jobTable.attemptsOn(machine.id).isEmpty()) machine.idleSinceMs = now.steadyMs
    }

    private fun commandsFor(machine: Machine) = if (token.countLeft == 0L) emptyList() else commands.of(machine)

    private fun recordSent(machine: Machine, commands: List<WorkerCommand>) {
        for (order in commands) {
            logEvent(LogLevel.DEBUG) {
                "$order to machine ${machine.id} session ${machine.incarnation} under version $token; records up to ${decisionLog.committed} are committed"
            }
            if (order is WorkerCommand.Start) {
                jobTable.attempt(order.attempt)?.let {
                    it.sent = token
                    it.sentIncarnation = machine.incarnation
                }
            }
        }
    }

    private fun push(machine: Machine) {
        val address = machine.address ?: return
        if (machine.state == MachineState.STARTING) return
        val commands = commandsFor(machine)
        if (commands.isEmpty()) return
        token = token.next()
        recordSent(machine, commands)
        effects += Effect.SendCommands(machine.id, address, machine.incarnation, token, commands)
    }

    private fun pushAfter(seq: LogIndex, machine: MachineId) {
        pushesAwaitingCommit.getOrPut(seq) { LinkedHashSet() } += machine
    }

    /** A machine about to be taken gets nothing new, and what can be saved is saved in time. */
    private fun drain(machine: Machine) {
        for (attempt in jobTable.attemptsOn(machine.id)) {
            if (attempt.stop == null && attempt.job.spec.checkpointIntervalS > 0) attempt.stop = StopCause.DRAIN
        }
    }

    private fun watchMachines() {
        for (machine in fleet.machines.values.toList()) {
            if (now.steadyMs >= machine.leaseEndMs) {
                jobTable.attemptsOn(machine.id).toList().forEach(::over)
            }
        }
        for (id in jobTable.machinesInUse.toList()) {
            if (id !in fleet.machines && now.steadyMs >= inheritedLeaseEndMs) jobTable.attemptsOn(id).toList().forEach(::over)
        }
        if (leaseHeld() && now.steadyMs - startedMs < timings.failoverMs) failureDetector.probeUnheard()
        if (!isSettled()) return
        fleet.machines.values.forEach(failureDetector::suspectIfRunning)
        transferLeadershipIfUnreachable()
        if (hasSteppedDown) return
        failureDetector.findSilent()
        failureDetector.findMachinesMissingReplies()
        scaleInCandidates.overdueBoots(now.steadyMs, listeningSinceMs).forEach {
            cloudRequests.requestTermination(it.id, "it never came up")
        }
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
        if (id !in fleet.terminatingMachines) return
        jobTable.attemptsOn(id).toList().forEach(::over)
        append(Event.MachineTerminated(id))
        cloudRequests.recordTermination(id)
        gone += id
        if (gone.size > GONE_KEPT) gone.remove(gone.first())
    }

    // ---- the cloud

    private fun typesListed(types: List<MachineType>) {
        fleet.updateTypes(types)
    }

    private fun listed(listed: ListedMachine) {
        if (listed.machine in gone) return
        val machine = fleet.machines[listed.machine] ?: adopt(
            listed.machine,
            listed.offer,
            now.steadyMs - (listed.ageS * 1000).toLong(),
        )
        machine.listedRunning = listed.state == ListedState.RUNNING
        if (machine.address == null) machine.address = listed.address
        failureDetector.suspectIfRunning(machine)
        if (listed.state == ListedState.FAILED && machine.state != MachineState.RETIRED && isSettled()) {
            cloudRequests.requestTermination(machine.id, "it has failed")
        }
    }

    // ---- decisions

    /**
     * No decision without a lease. A machine gets tasks as soon as it has reported in this term: its
     * report and the ledger tell what may run there. Only what depends on machines that may not have
     * reported yet, as renting and returning, waits for a report period.
     */
    private fun mayPlace() = leaseHeld() && fleet.types.isNotEmpty()
    private fun isSettled() =
        mayPlace() && (first && listeningSinceMs == startedMs || now.steadyMs - listeningSinceMs >= timings.failoverMs)

    private fun round() {
        if (now.steadyMs - lastRoundMs < timings.roundMs || !decisionLog.idle || decisionLog.backlog > MAX_BACKLOG) return
        lastRoundMs = now.steadyMs
        val waiting = jobTable.jobs.filter { it.waiting > 0 && it.notBeforeMs <= now.steadyMs }
        if (waiting.isEmpty()) {
            demands = emptyList()
            return
        }
        val usable = fleet.machines.values.filter(::usable)
        val look = PlacementRound(fleet, jobTable, usable, now.steadyMs)
        val unplaceableClasses = HashSet<PlacementClass>()
        val unplaced = ArrayList<UnplacedTasks>()
        val jobs = SchedulingOrder(completionObjectives, quota, now.wallMs).order(waiting)
        // However long the queue, each job begins in time: overdue ones get their first task before the rest.
        for (job in jobs) if (SchedulingOrder.isOverdue(job, now.wallMs)) place(job, look, unplaceableClasses, unplaced, most = 1)
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
        look: PlacementRound,
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
            val machine = if (shape in unplaceableClasses) null else look.chooseMachine(job)
            if (machine == null) {
                // What fits nowhere for one job fits nowhere for its like, unless other tasks of the job decide.
                if (!job.spec.oneZone && !job.spec.spread) unplaceableClasses += shape
                val count = minOf(job.waiting, quota.remainingTasks(job.spec))
                val left = count - preempt(job, look, count)
                if (left > 0) unplaced += UnplacedTasks(job.spec, left)
                return
            }
            start(job, index, machine)
            placed++
        }
    }

    /** Makes room for a job's next tasks by stopping work of lower priority, as the page allows; tells for how many. */
    private fun preempt(job: Job, look: PlacementRound, count: Int): Int {
        if (job.spec.priority != Priority.PRODUCTION || !isSettled()) return 0
        val machines = LinkedHashSet<Machine>()
        val made = look.planPreemption(job, count)
        for (victim in made.victims) {
            victim.stop = StopCause.PREEMPTED
            logEvent(LogLevel.DEBUG) { "task ${victim.id} on machine ${victim.machine} makes room for job ${job.id}" }
            fleet.machines[victim.machine]?.let { machines += it }
        }
        machines.forEach(::push)
        return made.tasks
    }

    /** A gang is started whole, and again only when nothing of an earlier start is left. */
    private fun placeGang(job: Job, look: PlacementRound, unplaced: MutableList<UnplacedTasks>) {
        if (job.live.isNotEmpty() || quota.remainingTasks(job.spec) < job.waiting) return
        val machines = look.chooseGangMachines(job)
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
        val seq = append(Event.AttemptStarted(job.id, index, number, machine.id))
        machine.idleSinceMs = now.steadyMs
        pushAfter(seq, machine.id)
        logEvent(LogLevel.DEBUG) { "task ${job.id}/$index#${job.lastNumber} goes to machine ${machine.id} with record $seq" }
    }

    private fun resizeFleet() {
        // The cloud's list tells as well as reports what there is: what hasn't reported counts as on its way.
        if (!isSettled() && !(mayPlace() && fleetListed) || now.steadyMs - lastFleetMs < FLEET_ROUND_MS) return
        lastFleetMs = now.steadyMs
        val room = (deployment.cloudRps / 2).toInt().coerceAtLeast(1) - fleet.pendingRentals.size
        if (room > 0) {
            for ((offer, count) in CapacityPlanner(deployment, fleet).plan(demands, now.steadyMs, room)) {
                cloudRequests.requestRental(offer, count)
            }
        }
        if (!isSettled()) return
        scaleInCandidates.idle(now.steadyMs, listeningSinceMs).forEach { cloudRequests.requestTermination(it.id, "it is idle") }
    }

    private fun shareImageCacheHints() {
        if (now.steadyMs - lastToldMs < timings.imageHintPeriodMs) return
        lastToldMs = now.steadyMs
        val up = fleet.machines.values.filter { it.state == MachineState.UP && it.lastHeardMs != null }
        effects += Effect.ShareImageCacheHints(up.associate { it.id to it.imageCache() })
    }

    private fun stepDown(reason: String, transferLeadership: Boolean = false) {
        hasSteppedDown = true
        effects += Effect.StepDown(reason, transferLeadership)
    }

    private inline fun logEvent(level: LogLevel, text: () -> String) {
        if (level <= logLevel) effects += Effect.Log(level, text())
    }

    private companion object {
        /** Names of machines that are gone, kept to tell late reports from new machines. */
        const val GONE_KEPT = 4096

        /** What the leader may spend of the state service's changes; elections need a few, too. */
        const val WRITE_SHARE = 0.8

        /** A trim that could make fewer changes isn't worth a commit. */
        const val LEAST_TRIM = 4

        /** Rounds wait while more records than these wait to be written. */
        const val MAX_BACKLOG = 2

        /** The fleet is looked at about as often as machines' lists can show anything new. */
        const val FLEET_ROUND_MS = 1000L
    }
}
