package cleathitch.scheduler

import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.StopCause
import cleathitch.scheduler.machines.CommandDispatcher
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.placement.PlacementRound
import cleathitch.scheduler.placement.ZoneAllowance

/** Stops running tasks to make room for jobs of higher priority. Confined to the leader's event loop. */
internal class Preemptor(
    private val context: SchedulerContext,
    private val inventory: Inventory,
    private val dispatcher: CommandDispatcher,
) {
    /** The number of tasks stopped in this term. */
    var preemptions = 0L
        private set

    /**
     * Preempts lower-priority tasks to make room for up to [count] tasks of a production job. Returns the number of the job's tasks
     * that will fit once all stopping tasks have ended.
     */
    fun makeRoom(job: Job, allowance: ZoneAllowance, count: Int, round: PlacementRound): Int {
        if (job.spec.priority != Priority.PRODUCTION || !context.isFleetObserved()) return 0
        val plan = round.planPreemption(job, allowance, count)
        val machines = LinkedHashSet<Machine>()
        for (victim in plan.victims) {
            victim.requestStop(StopCause.PREEMPTED)
            preemptions++
            context.logEvent(LogLevel.DEBUG) {
                "event=attempt_preempted attempt=${victim.id} machine=${victim.machine} for_job=${job.id}"
            }
            inventory.machines[victim.machine]?.let { machines += it }
        }
        machines.forEach(dispatcher::push)
        return plan.tasks
    }
}
