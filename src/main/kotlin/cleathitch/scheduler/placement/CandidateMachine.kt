package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.ResourceUsage
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.TaskState

/** A machine considered in one scheduling round, with the resources that the round hasn't reserved yet. */
internal class CandidateMachine(val machine: Machine, type: MachineType, usage: ResourceUsage?, attempts: Collection<Attempt>) {
    var freeCpus = type.cpus - (usage?.cpus ?: 0.0)
        private set
    private var freeGpus = type.gpus - (usage?.gpus ?: 0.0)
    private var freeMemoryGb = type.memoryGb - (usage?.memoryGb ?: 0.0)

    /** How many more tasks the machine's heartbeats have room for; they also report tasks that have ended until those are forgotten. */
    private var freeTasks =
        PlacementClass.MAX_TASKS_PER_MACHINE - attempts.size - machine.reportedTasks.count { it.state == TaskState.EXITED }
    val totalCpus = type.cpus
    val zone: String get() = machine.offer.zone

    /** Whether a service task runs here. The machine is then kept for the service, so its free resources cost nothing extra. */
    val runsService = attempts.any { it.job.spec.kind == JobKind.SERVICE }

    /** Images that are being fetched; concurrent fetches share the machine's fetch bandwidth. */
    val fetchingImages: Set<String> = if (attempts.isEmpty()) emptySet() else missingImages(attempts)

    private fun missingImages(attempts: Collection<Attempt>): Set<String> = attempts
        .filter { it.runningSinceMs == null }
        .map { it.job.spec.image }
        .filterTo(HashSet()) { !machine.hasImage(it) }

    fun fittingTasks(placementClass: PlacementClass): Int = minOf(freeTasks, placementClass.fittingTasks(freeCpus, freeGpus, freeMemoryGb))

    fun fits(placementClass: PlacementClass): Boolean = fittingTasks(placementClass) > 0

    /** Reserves the resources of one task for the rest of the round. */
    fun reserve(placementClass: PlacementClass) {
        freeCpus -= placementClass.cpus
        freeGpus -= placementClass.gpus
        freeMemoryGb -= placementClass.memoryGb
        freeTasks--
    }
}
