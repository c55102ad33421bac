package cleathitch.scheduler.placement

import cleathitch.scheduler.model.PlacementClass

/** The machines of one zone that fit a placement class, in ascending order of cost, with a cursor that skips full machines. */
internal class RankedMachines private constructor(private val candidates: List<CandidateMachine>, private val costs: DoubleArray) {
    private var next = 0

    /** The cheapest machine that the cursor hasn't passed; call [skipFull] first. */
    val first: CandidateMachine? get() = candidates.getOrNull(next)
    val firstCost: Double get() = costs[next]

    /** Advances the cursor past full machines. Free resources only shrink during a round, so a full machine stays full. */
    fun skipFull(placementClass: PlacementClass) {
        while (next < candidates.size && !candidates[next].fits(placementClass)) next++
    }

    /** Whether [tasks] tasks fit on the machines that the cursor hasn't passed. */
    fun fitsAll(placementClass: PlacementClass, tasks: Int): Boolean {
        var fitting = 0
        for (index in next until candidates.size) {
            fitting += candidates[index].fittingTasks(placementClass)
            if (fitting >= tasks) return true
        }
        return false
    }

    companion object {
        fun of(candidates: List<CandidateMachine>, placementClass: PlacementClass): RankedMachines {
            val ranked = candidates.map { it to placementCost(placementClass, it) }.sortedBy { it.second }
            return RankedMachines(ranked.map { it.first }, DoubleArray(ranked.size) { ranked[it].second })
        }
    }
}
