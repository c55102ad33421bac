package cleathitch.scheduler.capacity

import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.RESOURCE_TOLERANCE
import kotlin.math.ceil

/**
 * How many of the tasks without room need new machines. Running tasks end and make room, often sooner
 * than a machine boots; as long as a class can wait for that and still meet its aim, nothing is rented.
 */
class DemandForecast(
    private val fleet: Inventory,
    private val jobTable: JobTable,
    private val completionObjectives: Map<String, List<Double>>,
) {
    /** What a class lacks, after what running tasks leave within half of their slack, and within all of it. */
    private class Want {
        var tasks = 0
        var soon = 0.0
        var late = 0.0
        var slackS = 0.0
        var runS = 0.0

        /** Jobs of a class have estimates of their own; their mean stands for the class. */
        fun add(count: Int, slack: Double, run: Double) {
            slackS += (slack - slackS) * count / (tasks + count)
            runS += (run - runS) * count / (tasks + count)
            tasks += count
        }
    }

    fun demands(unplaced: List<UnplacedTasks>): List<Inventory.Demand> {
        if (unplaced.isEmpty()) return emptyList()
        val freed = jobTable.jobs.filter { it.spec.kind == JobKind.ARRAY && it.spec.estimateS > 0 }
            .sumOf { it.liveAttempts.size * it.spec.cpus / it.spec.estimateS }
        val wants = LinkedHashMap<PlacementClass, Want>()
        // Processors that are freed, but by then taken by classes before: within half of the slack, and within all.
        var usedSoon = 0.0
        var usedLate = 0.0
        for (lack in unplaced) {
            val cpus = lack.spec.cpus
            val slackS = slackS(lack.spec)
            val soon = minOf(lack.count * cpus, (freed * slackS / 2 - usedSoon).coerceAtLeast(0.0))
            val late = minOf(lack.count * cpus, (freed * slackS - usedLate).coerceAtLeast(0.0))
            usedSoon += soon
            usedLate += late
            val want = wants.getOrPut(lack.spec.placementClass) { Want() }
            want.add(lack.count, slackS, lack.spec.estimateS)
            want.soon += lack.count - soon / cpus
            want.late += lack.count - late / cpus
        }
        return wants.mapNotNull { (shape, want) ->
            val count = ceil(want.soon - RESOURCE_TOLERANCE).toInt()
            Inventory.Demand(shape, count, ceil(want.late - RESOURCE_TOLERANCE).toInt(), want.slackS, want.runS).takeIf { count > 0 }
        }
    }

    /**
     * For how long a task may wait in the queue: what its run and its image leave of its class's first aim
     * that it can meet. One that meets none has all the time of the last: a machine more wouldn't help it.
     */
    private fun slackS(spec: JobSpec): Double {
        if (spec.kind != JobKind.ARRAY) return 0.0
        val fetchS = spec.imageGb / (fleet.types.values.maxOfOrNull { it.fetchGbPerS } ?: return 0.0)
        val completionObjectives = completionObjectives[spec.className] ?: listOf(spec.deadlineS ?: return 0.0)
        return completionObjectives.firstOrNull { it > spec.estimateS + fetchS }?.let { it - spec.estimateS - fetchS }
            ?: completionObjectives.last()
    }
}
