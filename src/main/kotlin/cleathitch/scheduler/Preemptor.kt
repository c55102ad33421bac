package cleathitch.scheduler

import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.capacity.ReclaimPolicy
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.jobs.StopCause
import cleathitch.scheduler.machines.CommandDispatcher
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.MS_PER_S
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.placement.Nomination
import cleathitch.scheduler.placement.NominationEnd
import cleathitch.scheduler.placement.Nominations
import cleathitch.scheduler.placement.PlacementRound
import cleathitch.scheduler.placement.PreemptionPlan
import cleathitch.scheduler.placement.ZoneAllowance

/**
 * Stops running tasks to make room for jobs of higher priority or within their team's guarantee, and keeps that room for them until
 * they start there. Confined to the leader's event loop.
 */
internal class Preemptor(
    private val context: SchedulerContext,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    private val quota: Quota,
    private val dispatcher: CommandDispatcher,
) {
    /** The room that is being made. */
    val nominations = Nominations()

    /** The number of tasks stopped in this term. */
    var preemptions = 0L
        private set

    /** The number of tasks stopped in this term for nominations that ended before all their tasks were started. */
    var wastedPreemptions = 0L
        private set

    /** The number of tasks started in this term in room that was made for them. */
    var startsInFreedRoom = 0L
        private set

    /** Gives up room that can't be used any more; called at the start of each round with the jobs that wait and the usable machines. */
    fun dropUnusableNominations(waiting: List<Job>, usableMachines: List<Machine>) {
        if (nominations.all.isEmpty()) return
        val waitingJobs = waiting.mapTo(HashSet()) { it.id }
        val usable = usableMachines.mapTo(HashSet()) { it.id }
        val nominatedTasks = HashMap<JobId, Int>()
        nominations.drop(context.now.monotonicMs, reason = { nomination ->
            val job = nomination.job
            val tasks = (nominatedTasks[job.id] ?: 0) + nomination.tasks
            val isNeeded = job.id in waitingJobs &&
                quota.allows(job.spec) &&
                tasks <= job.waitingTasks &&
                nomination.machine.offer.zone in ZoneAllowance.of(job, inventory)
            when {
                !isNeeded -> NominationEnd.NOT_NEEDED
                nomination.machine.id !in usable -> NominationEnd.MACHINE_UNUSABLE
                nomination.isExpired(context.now.monotonicMs) -> NominationEnd.EXPIRED
                else -> null.also { nominatedTasks[job.id] = tasks }
            }
        }, ::recordDropped)
        // A gang needs all of its room.
        val isIncomplete = { job: Job -> job.spec.kind == JobKind.GANG && nominations.taskCount(job) < job.waitingTasks }
        nominations.drop(context.now.monotonicMs, { if (isIncomplete(it.job)) NominationEnd.NOT_NEEDED else null }, ::recordDropped)
    }

    private fun recordDropped(nomination: Nomination, end: NominationEnd) {
        wastedPreemptions += nomination.victims
        context.logEvent(LogLevel.DEBUG) {
            "event=nomination_dropped job=${nomination.job.id} machine=${nomination.machine.id} tasks=${nomination.tasks} " +
                "victims=${nomination.victims} reason=${end.label}"
        }
    }

    /** Records that one of the nomination's tasks was started on its machine. */
    fun recordStart(nomination: Nomination) {
        nominations.recordStart(nomination)
        startsInFreedRoom++
    }

    /**
     * Makes room for up to [count] tasks of the job: for tasks within its team's guarantee from what other teams have borrowed, and for
     * production jobs from tasks of lower priority. For a gang, room is made for all tasks or none, and only within the guarantee.
     * Returns the number of the job's tasks that will fit once all stopping tasks have ended.
     */
    fun makeRoom(job: Job, allowance: ZoneAllowance, count: Int, round: PlacementRound, reclaimPolicy: ReclaimPolicy): Int {
        if (!context.isFleetObserved()) return 0
        val guaranteed = guaranteedTasks(job, count)
        val mayReclaim = guaranteed > 0 && reclaimPolicy.isDue(job, allowance, guaranteed)
        if (job.spec.kind == JobKind.GANG) return if (mayReclaim && guaranteed == count) makeRoomForGang(job, allowance, round) else 0
        val reclaimed = if (mayReclaim) reclaim(job, allowance, guaranteed, round) else null
        val remaining = count - (reclaimed?.tasks ?: 0)
        if (remaining == 0 || job.spec.priority != Priority.PRODUCTION) return count - remaining
        val plan = round.planPreemption(job, reclaimed?.remainingAllowance ?: allowance, remaining)
        carryOut(job, plan)
        return count - remaining + plan.tasks
    }

    /** How many of [count] waiting tasks are within the team's guarantee. */
    private fun guaranteedTasks(job: Job, count: Int) =
        minOf(count, quota.remainingGuaranteedTasks(job.spec, nominations.usageOfTeam(job.spec.team)))

    private fun reclaim(job: Job, allowance: ZoneAllowance, tasks: Int, round: PlacementRound): PreemptionPlan =
        round.planPreemption(job, allowance, tasks, reclaims = true).also { carryOut(job, it) }

    private fun makeRoomForGang(job: Job, allowance: ZoneAllowance, round: PlacementRound): Int {
        val plan = round.planPreemption(job, allowance, job.waitingTasks, reclaims = true)
        if (plan.tasks < job.waitingTasks) return 0.also { round.discard(plan, job) }
        carryOut(job, plan)
        return plan.tasks
    }

    /** Stops the plan's victims, and nominates its machines until the stopping tasks must have ended. */
    private fun carryOut(job: Job, plan: PreemptionPlan) {
        val checkpointWriteS = plan.assignments.maxOfOrNull { it.checkpointWriteS } ?: return
        val durationMs = timings.silentAfterMs + (checkpointWriteS * MS_PER_S).toLong()
        plan.assignments.forEach { carryOut(job, it, durationMs) }
    }

    private fun carryOut(job: Job, assignment: PreemptionPlan.Assignment, durationMs: Long) {
        val machine = assignment.machine
        for (victim in assignment.victims) {
            victim.requestStop(StopCause.PREEMPTED)
            preemptions++
            context.logEvent(LogLevel.DEBUG) {
                "event=attempt_preempted attempt=${victim.id} machine=${victim.machine} for_job=${job.id}"
            }
        }
        nominations.add(Nomination(job, machine, assignment.tasks, assignment.victims.size, context.now.monotonicMs, durationMs))
        context.logEvent(LogLevel.DEBUG) {
            "event=machine_nominated job=${job.id} machine=${machine.id} tasks=${assignment.tasks} victims=${assignment.victims.size}"
        }
        if (assignment.victims.isNotEmpty()) dispatcher.push(machine)
    }
}
