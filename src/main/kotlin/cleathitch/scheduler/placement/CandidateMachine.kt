package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.ResourceUsage
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.PlacementClass

/** A machine in one scheduling round, with what the round has left free of it. */
internal class CandidateMachine(val machine: Machine, type: MachineType, usage: ResourceUsage?, attempts: Collection<Attempt>) {
    var freeCpus = type.cpus - (usage?.cpus ?: 0.0)
        private set
    private var freeGpus = type.gpus - (usage?.gpus ?: 0.0)
    private var freeMemoryGb = type.memoryGb - (usage?.memoryGb ?: 0.0)
    val totalCpus = type.cpus
    val zone: String get() = machine.offer.zone

    /** A service keeps this machine, so it is paid for anyway: what is free of it costs nothing. */
    val runsService = attempts.any { it.job.spec.kind == JobKind.SERVICE }

    /** Images on their way here, which share the machine's fetch rate. */
    val fetchingImages: Set<String> = if (attempts.isEmpty()) emptySet() else imagesNotYetHere(attempts)

    private fun imagesNotYetHere(attempts: Collection<Attempt>): Set<String> = attempts
        .filter { it.runningSinceMs == null }
        .map { it.job.spec.image }
        .filterTo(HashSet()) { !machine.hasImage(it) }

    fun fittingTasks(placementClass: PlacementClass): Int = placementClass.fittingTasks(freeCpus, freeGpus, freeMemoryGb)

    fun fits(placementClass: PlacementClass): Boolean = fittingTasks(placementClass) > 0

    /** Takes the room of one task for the rest of the round. */
    fun reserve(placementClass: PlacementClass) {
        freeCpus -= placementClass.cpus
        freeGpus -= placementClass.gpus
        freeMemoryGb -= placementClass.memoryGb
    }
}
