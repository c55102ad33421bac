package cleathitch.scheduler

import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.WaitReason
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.capacity.ReclaimPolicy
import cleathitch.scheduler.capacity.UnplacedTasks
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.machines.CommandDispatcher
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.machines.RentableOffers
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.placement.PlacementRound
import cleathitch.scheduler.placement.ZoneAllowance

/** Starts the waiting tasks of jobs in one scheduling round, and collects the tasks that couldn't be placed. */
// All parameters are dependencies; grouping them in one object would only hide them.
@Suppress("LongParameterList")
internal class JobPlacer(
    private val context: SchedulerContext,
    private val inventory: Inventory,
    private val quota: Quota,
    private val decisionLog: DecisionLog,
    private val dispatcher: CommandDispatcher,
    private val waitReasons: WaitReasonLog,
    private val preemptor: Preemptor,
    private val reclaimPolicy: ReclaimPolicy,
    private val round: PlacementRound,
) {
    private val rentableOffers = RentableOffers(inventory)
    private val nominations = preemptor.nominations
    private val offeredZonesByClass = HashMap<PlacementClass, Set<String>>()
    private val unplaceableClasses = HashSet<PlacementClass>()
    private val unplaced = ArrayList<UnplacedTasks>()

    /** The tasks that need room which neither exists nor is being made, in scheduling order. */
    val unplacedTasks: List<UnplacedTasks> get() = unplaced

    /** Starts one waiting task of the job, or the whole gang, if there is room; makes no room and records no demand. */
    fun placeFirst(job: Job) {
        if (job.spec.kind == JobKind.GANG) placeGang(job, ZoneAllowance.of(job, inventory)) else placeTasks(job, limit = 1)
    }

    /** Starts the job's waiting tasks; a gang is started all at once or not at all. Makes room or records demand for the others. */
    fun place(job: Job) {
        if (job.spec.kind != JobKind.GANG) return recordWaiting(job, placeTasks(job))
        val allowance = ZoneAllowance.of(job, inventory)
        if (placeGang(job, allowance) || job.liveAttempts.isNotEmpty()) return
        when {
            nominations.taskCount(job) > 0 -> recordMakingRoom(job)
            !mayStartGang(job) -> waitReasons.record(job, WaitReason.QUOTA, job.waitingTasks)
            preemptor.makeRoom(job, allowance, job.waitingTasks, round, reclaimPolicy) > 0 -> recordMakingRoom(job)
            else -> recordUnplaced(job, allowance, job.waitingTasks)
        }
    }

    /**
     * Starts up to [limit] waiting tasks: first those whose room has been made, then those for which none is being made. Returns what
     * the zones may take after that and after the tasks that wait for their room.
     */
    private fun placeTasks(job: Job, limit: Int = Int.MAX_VALUE): ZoneAllowance {
        val started = placeOnNominatedMachines(job, limit)
        var allowance = allowanceBesidesNominations(job)
        if (allowance.needsSingleZone) allowance = round.narrowToZones(job, allowance, offeredZones(job))
        repeat(minOf(limit - started, job.waitingTasks - nominations.taskCount(job))) {
            val index = job.nextWaitingTask()
            if (index == null || !quota.allows(job.spec, reservedQuota(job))) return allowance
            val machine = chooseMachine(job, allowance) ?: return allowance
            start(job, index, machine)
            allowance = allowance.after(machine.offer.zone)
        }
        return allowance
    }

    /** What the zones may take in addition to the tasks for which room is being made. */
    private fun allowanceBesidesNominations(job: Job): ZoneAllowance =
        nominations.of(job).fold(ZoneAllowance.of(job, inventory)) { left, nomination ->
            left.after(nomination.machine.offer.zone, nomination.tasks)
        }

    /** The part of the team's limit that tasks take for which room is being made. */
    private fun reservedQuota(job: Job) = nominations.usageOfTeam(job.spec.team)

    /** Starts up to [limit] tasks in room that was made for them; returns how many. */
    private fun placeOnNominatedMachines(job: Job, limit: Int): Int {
        var started = 0
        for (nomination in nominations.of(job)) {
            repeat(minOf(limit - started, nomination.tasks)) {
                val index = job.nextWaitingTask() ?: return started
                if (!quota.allows(job.spec) || !round.useNomination(nomination)) return@repeat
                start(job, index, nomination.machine)
                preemptor.recordStart(nomination)
                started++
            }
        }
        return started
    }

    private fun chooseMachine(job: Job, allowance: ZoneAllowance): Machine? {
        val placementClass = job.spec.placementClass
        if (placementClass in unplaceableClasses) return null
        val machine = round.chooseMachine(job, allowance)
        // No machine fits the other jobs of this class either, so none is sought for them in this round. This doesn't hold if the
        // allowance depends on where the tasks of each job run.
        if (machine == null && allowance.tasksByZone == null) unplaceableClasses += placementClass
        return machine
    }

    private fun recordWaiting(job: Job, allowance: ZoneAllowance) {
        val waiting = job.waitingTasks - nominations.taskCount(job)
        if (waiting == 0) return recordMakingRoom(job)
        val permitted = minOf(waiting, quota.remainingTasks(job.spec, reservedQuota(job)))
        if (permitted <= 0) return waitReasons.record(job, WaitReason.QUOTA, waiting)
        val remaining = permitted - preemptor.makeRoom(job, allowance, permitted, round, reclaimPolicy)
        if (remaining == 0) recordMakingRoom(job) else recordUnplaced(job, allowanceBesidesNominations(job), remaining)
    }

    private fun recordMakingRoom(job: Job) {
        if (job.waitingTasks > 0) waitReasons.record(job, WaitReason.ROOM_BEING_MADE, job.waitingTasks)
    }

    private fun recordUnplaced(job: Job, allowance: ZoneAllowance, tasks: Int) {
        unplaced += UnplacedTasks(job.spec, tasks, allowance)
        waitReasons.record(job, reasonFor(job, allowance), tasks)
    }

    private fun reasonFor(job: Job, allowance: ZoneAllowance): WaitReason {
        val placementClass = job.spec.placementClass
        if (allowance.tasksByZone != null && round.hasRoom(placementClass)) return WaitReason.ZONE
        return if (offeredZones(job).any { it in allowance }) WaitReason.NO_ROOM else WaitReason.OFFER_REFUSED
    }

    private fun offeredZones(job: Job): Set<String> = offeredZonesByClass.getOrPut(job.spec.placementClass) {
        rentableOffers.offersFor(job.spec.placementClass, context.now.monotonicMs).mapTo(HashSet()) { it.zone }
    }

    /** The tasks of a gang are started together, so none may have a live attempt, and the team's limit has to allow all of them. */
    private fun mayStartGang(job: Job) =
        job.liveAttempts.isEmpty() && quota.remainingTasks(job.spec, reservedQuota(job)) >= job.waitingTasks

    /** Starts all tasks of a gang together; returns false if they can't all be placed. */
    private fun placeGang(job: Job, allowance: ZoneAllowance): Boolean {
        val nominated = nominations.of(job)
        val machines = when {
            nominated.isEmpty() -> if (mayStartGang(job)) round.chooseGangMachines(job, allowance) else null
            round.useAll(nominated) -> nominated.flatMap { nomination -> List(nomination.tasks) { nomination.machine } }
            else -> null
        } ?: return false
        nominated.forEach { nomination -> repeat(nomination.tasks) { preemptor.recordStart(nomination) } }
        // The tasks of a gang discover each other by attempt number, so all share one number.
        val number = job.lastAttemptNumber + 1
        decisionLog.reserveSpaceFor(machines.mapIndexed { index, machine -> Event.AttemptStarted(job.id, index, number, machine.id) })
        for (machine in machines) start(job, job.nextWaitingTask() ?: break, machine, number)
        return true
    }

    private fun start(job: Job, index: Int, machine: Machine, number: Long = job.lastAttemptNumber + 1) {
        val recordIndex = context.append(Event.AttemptStarted(job.id, index, number, machine.id))
        machine.recordUse(context.now.monotonicMs)
        dispatcher.pushOnceCommitted(recordIndex, machine.id)
        context.logEvent(LogLevel.DEBUG) {
            "event=attempt_started attempt=${job.id}/$index#${job.lastAttemptNumber} machine=${machine.id} record=${recordIndex.number}"
        }
    }
}
