package cleathitch.scheduler.placement

import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.PlacementClass

/** The cost of fetching an image. The unused CPU share adds between 0 and 1, so a fetch always outweighs it. */
private const val IMAGE_FETCH_COST = 2.0

/**
 * The cost of placing a task that may run on spot machines on an on-demand one. It exceeds [IMAGE_FETCH_COST], so a spot
 * machine is preferred even if it has to fetch the image, though not necessarily if it is already fetching other images. This
 * keeps on-demand machines free for tasks that need them.
 */
private const val ON_DEMAND_PENALTY = 4.0

/** The bonus (a negative cost) for a machine that runs a service, whose free resources are already paid for. */
private const val SERVICE_MACHINE_BONUS = -1.0

/**
 * The cost of placing one more task on a machine; lower is better. In descending order of weight: whether the task needlessly
 * occupies an on-demand machine, whether the image is cached or being fetched, whether the machine is kept for a service anyway,
 * and how tight the fit is (best fit). Each task that failed with an error on the machine adds 1, the cost of the loosest fit.
 */
internal fun placementCost(placementClass: PlacementClass, candidate: CandidateMachine): Double {
    val imageFetchCost = fetchCost(placementClass.image, candidate)
    val usesOnDemandNeedlessly = placementClass.spotAllowed && !candidate.machine.offer.spot && !candidate.runsService
    val onDemandPenalty = if (usesOnDemandNeedlessly) ON_DEMAND_PENALTY else 0.0
    val serviceBonus = if (placementClass.kind != JobKind.SERVICE && candidate.runsService) SERVICE_MACHINE_BONUS else 0.0
    val unusedCpuShare = (candidate.freeCpus - placementClass.cpus) / candidate.totalCpus
    return imageFetchCost + onDemandPenalty + serviceBonus + unusedCpuShare + candidate.machine.taskFailures
}

/** Concurrent fetches share the machine's bandwidth, so each image that is being fetched makes another fetch more expensive. */
private fun fetchCost(image: String, candidate: CandidateMachine): Double = when {
    candidate.machine.hasImage(image) -> 0.0
    image in candidate.fetchingImages -> IMAGE_FETCH_COST / 2
    else -> IMAGE_FETCH_COST * (1 + candidate.fetchingImages.size)
}
