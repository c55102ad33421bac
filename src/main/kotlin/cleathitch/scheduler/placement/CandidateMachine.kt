package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.ResourceUsage
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.TaskState

/**
 * A machine considered in one scheduling round, with the resources that are neither in use, nor reserved by the round, nor part of
 * the room that is being made for a job. That room counts in full, so what is free may be negative until the stopping tasks have ended.
 */
internal class CandidateMachine(val machine: Machine, type: MachineType, usage: ResourceUsage?, attempts: Collection<Attempt>) {
    var freeCpus = type.cpus - (usage?.cpus ?: 0.0)
        private set
    private var freeGpus = type.gpus - (usage?.gpus ?: 0.0)
    private var freeMemoryGb = type.memoryGb - (usage?.memoryGb ?: 0.0)

    /** How many more tasks the machine's heartbeats have room for; they also report tasks that have ended until those are forgotten. */
    private var freeTasks =
        PlacementClass.MAX_TASKS_PER_MACHINE - attempts.size - machine.reportedTasks.count { it.state == TaskState.EXITED }

    /** The room that is being made for jobs. */
    private val nominated = ResourceUsage()
    val totalCpus = type.cpus
    val zone: String get() = machine.offer.zone

    /** Whether a service task runs here. The machine is then kept for the service, so its free resources cost nothing extra. */
    val runsService by lazy(LazyThreadSafetyMode.NONE) { attempts.any { it.job.spec.kind == JobKind.SERVICE } }

    /** Images that are being fetched; concurrent fetches share the machine's fetch bandwidth. */
    val fetchingImages: Set<String> by lazy(LazyThreadSafetyMode.NONE) { missingImages(attempts) }

    private fun missingImages(attempts: Collection<Attempt>): Set<String> = attempts
        .filter { it.runningSinceMs == null }
        .map { it.job.spec.image }
        .filterTo(HashSet()) { !machine.hasImage(it) }

    fun fittingTasks(placementClass: PlacementClass): Int = minOf(freeTasks, placementClass.fittingTasks(freeCpus, freeGpus, freeMemoryGb))

    fun fits(placementClass: PlacementClass): Boolean = fittingTasks(placementClass) > 0

    /** The number of tasks that fit once tasks with the resources [freed] have ended. */
    fun fittingTasksAfter(freed: ResourceUsage, placementClass: PlacementClass): Int = minOf(
        freeTasks + freed.tasks,
        placementClass.fittingTasks(freeCpus + freed.cpus, freeGpus + freed.gpus, freeMemoryGb + freed.memoryGb),
    )

    /** Reserves the resources of [tasks] tasks for the rest of the round. */
    fun reserve(placementClass: PlacementClass, tasks: Int = 1) {
        freeCpus -= tasks * placementClass.cpus
        freeGpus -= tasks * placementClass.gpus
        freeMemoryGb -= tasks * placementClass.memoryGb
        freeTasks -= tasks
    }

    /** Reserves the resources of [tasks] tasks of a job for which room is being made, whether or not they are free yet. */
    fun nominate(placementClass: PlacementClass, tasks: Int) {
        reserve(placementClass, tasks)
        nominated.add(placementClass, tasks)
    }

    /** Takes back [nominate]. */
    fun withdrawNomination(placementClass: PlacementClass, tasks: Int) {
        reserve(placementClass, -tasks)
        nominated.remove(placementClass, tasks)
    }

    /** Takes back [useNomination]. */
    fun restoreNomination(placementClass: PlacementClass) = nominated.add(placementClass)

    /** Uses the reservation of one task if its resources are free now; returns false if they aren't. */
    fun useNomination(placementClass: PlacementClass): Boolean {
        if (fittingTasksAfter(nominated, placementClass) <= 0) return false
        nominated.remove(placementClass)
        return true
    }
}
