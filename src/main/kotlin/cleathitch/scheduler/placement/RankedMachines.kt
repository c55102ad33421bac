package cleathitch.scheduler.placement

import cleathitch.scheduler.model.PlacementClass

/** One zone's machines with room for a class, cheapest first, with a cursor that passes those that are full by now. */
internal class RankedMachines private constructor(private val candidates: List<CandidateMachine>, private val costs: DoubleArray) {
    private var next = 0

    /** The cheapest machine that isn't passed over yet; call [skipFull] first. */
    val first: CandidateMachine? get() = candidates.getOrNull(next)
    val firstCost: Double get() = costs[next]

    /** Passes over machines without room. A machine only fills up during a round, so none has to be seen again. */
    fun skipFull(placementClass: PlacementClass) {
        while (next < candidates.size && !candidates[next].fits(placementClass)) next++
    }

    companion object {
        fun of(candidates: List<CandidateMachine>, placementClass: PlacementClass): RankedMachines {
            val ranked = candidates.map { it to placementCost(placementClass, it) }.sortedBy { it.second }
            return RankedMachines(ranked.map { it.first }, DoubleArray(ranked.size) { ranked[it].second })
        }
    }
}
