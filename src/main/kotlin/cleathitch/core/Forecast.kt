package cleathitch.core

import kotlin.math.ceil

/** Tasks of a job that found no room. */
data class Lack(val spec: JobSpec, val count: Int)

/**
 * How many of the tasks without room need new machines. Running tasks end and make room, often sooner
 * than a machine boots; as long as a class can wait for that and still meet its aim, nothing is rented.
 */
class Forecast(private val deployment: Deployment, private val fleet: Fleet, private val ledger: Ledger) {
    private class Want(val spec: JobSpec) {
        var soon = 0.0
        var late = 0.0
    }

    fun demands(lacking: List<Lack>): List<Fleet.Demand> {
        if (lacking.isEmpty()) return emptyList()
        val freed = ledger.jobs.filter { it.spec.kind == JobKind.ARRAY && it.spec.estimateS > 0 }
            .sumOf { it.live.size * it.spec.cpus / it.spec.estimateS }
        val wants = LinkedHashMap<PlacementClass, Want>()
        // Processors that are freed, but by then taken by classes before: within half of the slack, and within all.
        var usedSoon = 0.0
        var usedLate = 0.0
        for (lack in lacking) {
            val cpus = lack.spec.cpus
            val slackS = slackS(lack.spec)
            val soon = minOf(lack.count * cpus, (freed * slackS / 2 - usedSoon).coerceAtLeast(0.0))
            val late = minOf(lack.count * cpus, (freed * slackS - usedLate).coerceAtLeast(0.0))
            usedSoon += soon
            usedLate += late
            val want = wants.getOrPut(lack.spec.placementClass) { Want(lack.spec) }
            want.soon += lack.count - soon / cpus
            want.late += lack.count - late / cpus
        }
        return wants.mapNotNull { (shape, want) ->
            val count = ceil(want.soon - ROUNDING).toInt()
            val ordinary = if (shape.spotAllowed) ceil(want.late - ROUNDING).toInt() else count
            val slackS = slackS(want.spec) * SLACK_USED
            Fleet.Demand(shape, count, ordinary, slackS, want.spec.estimateS).takeIf { count > 0 }
        }
    }

    /** For how long a task may wait in the queue: what its run and its image leave of its class's first aim. */
    private fun slackS(spec: JobSpec): Double {
        if (spec.kind != JobKind.ARRAY) return 0.0
        val within = deployment.objectives.filterIsInstance<Objective.Finished>()
            .filter { it.className == spec.className }.minOfOrNull { it.withinS } ?: spec.deadlineS ?: return 0.0
        val fetchS = spec.imageGb / (fleet.types.values.maxOfOrNull { it.fetchGbPerS } ?: return 0.0)
        return (within - spec.estimateS - fetchS).coerceAtLeast(0.0)
    }

    private companion object {
        const val ROUNDING = 1e-6

        /** Estimates are often wrong by half, and machines come late: not all of the slack is planned away. */
        const val SLACK_USED = 0.75
    }
}
