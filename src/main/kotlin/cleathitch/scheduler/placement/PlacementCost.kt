package cleathitch.scheduler.placement

import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.PlacementClass

/** The cost of fetching an image, in terms of the fit, which costs between 0 and 1: a fetch outweighs any fit. */
private const val IMAGE_FETCH_COST = 2.0

/** A task that may run on spot machines leaves on-demand ones to those that may not, even if its image has to be fetched for it. */
private const val ON_DEMAND_COST = 4.0

/** Room beside a service is paid for already. */
private const val PAID_MACHINE_BONUS = -1.0

/**
 * The cost of one more task on a machine; smaller is better. In order of weight: the kind of machine meant for the work, the
 * image there or on its way, then the tightest fit. Each task that failed by itself on the machine counts as much as the loosest fit.
 */
internal fun placementCost(placementClass: PlacementClass, candidate: CandidateMachine): Double {
    val fetch = fetchCost(placementClass.image, candidate)
    val wastesOnDemand = placementClass.spotAllowed && !candidate.machine.offer.spot && !candidate.runsService
    val machineKind = if (wastesOnDemand) ON_DEMAND_COST else 0.0
    val paid = if (placementClass.kind != JobKind.SERVICE && candidate.runsService) PAID_MACHINE_BONUS else 0.0
    val looseness = (candidate.freeCpus - placementClass.cpus) / candidate.totalCpus
    return fetch + machineKind + paid + looseness + candidate.machine.taskFailures
}

/** Images that are fetched together share the machine's rate, so each one on its way makes another dearer. */
private fun fetchCost(image: String, candidate: CandidateMachine): Double = when {
    candidate.machine.hasImage(image) -> 0.0
    image in candidate.fetchingImages -> IMAGE_FETCH_COST / 2
    else -> IMAGE_FETCH_COST * (1 + candidate.fetchingImages.size)
}
