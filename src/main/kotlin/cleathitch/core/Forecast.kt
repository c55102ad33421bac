package cleathitch.core

import kotlin.math.ceil

/** Tasks of a job that found no room. */
data class Lack(val spec: JobSpec, val count: Int)

/**
 * How many of the tasks without room need new machines. Running tasks end and make room, often sooner
 * than a machine boots; as long as a class can wait for that and still meet its aim, nothing is rented.
 */
class Forecast(private val deployment: Deployment, private val fleet: Fleet, private val ledger: Ledger) {
    fun demands(lacking: List<Lack>): List<Fleet.Demand> {
        if (lacking.isEmpty()) return emptyList()
        val freed = ledger.jobs.filter { it.spec.kind == JobKind.ARRAY && it.spec.estimateS > 0 }
            .sumOf { it.live.size * it.spec.cpus / it.spec.estimateS }
        val demands = LinkedHashMap<PlacementClass, Double>()
        var used = 0.0 // processors that are freed, but by then taken by classes before
        for (lack in lacking) {
            val shape = lack.spec.placementClass
            val bySoon = (freed * patienceS(lack.spec) - used).coerceAtLeast(0.0)
            val served = minOf(lack.count.toDouble(), bySoon / shape.cpus)
            used += served * shape.cpus
            demands.merge(shape, lack.count - served, Double::plus)
        }
        return demands.mapNotNull { (shape, count) -> Fleet.Demand(shape, ceil(count - ROUNDING).toInt()).takeIf { it.count > 0 } }
    }

    /** For how long a task may wait in the queue: half of what its run and its image leave of its aim. */
    private fun patienceS(spec: JobSpec): Double {
        if (spec.kind != JobKind.ARRAY) return 0.0
        val within = deployment.objectives.filterIsInstance<Objective.Finished>()
            .filter { it.className == spec.className }.minOfOrNull { it.withinS } ?: spec.deadlineS ?: return 0.0
        val fetchS = spec.imageGb / (fleet.types.values.maxOfOrNull { it.fetchGbPerS } ?: return 0.0)
        return ((within - spec.estimateS - fetchS) / 2).coerceAtLeast(0.0)
    }

    private companion object {
        const val ROUNDING = 1e-6
    }
}
