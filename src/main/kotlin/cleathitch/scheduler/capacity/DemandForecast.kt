package cleathitch.scheduler.capacity

import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.RESOURCE_TOLERANCE
import kotlin.math.ceil

/**
 * How many of the unplaced tasks need new machines. Running tasks end and make room, often sooner than a machine boots;
 * as long as a class can wait for that and still meet its objective, nothing is rented.
 */
class DemandForecast(
    private val inventory: Inventory,
    private val jobTable: JobTable,
    /** For each job class the seconds within which its jobs are to be finished, the shortest first. */
    private val completionObjectives: Map<String, List<Double>>,
) {
    /** The demands of [unplaced], class by class, in the order in which the classes first appear there. */
    fun demands(unplaced: List<UnplacedTasks>): List<MachineDemand> {
        if (unplaced.isEmpty()) return emptyList()
        val freedCpusPerS = freedCpusPerS()
        val shortages = LinkedHashMap<PlacementClass, Shortage>()
        // Processors that running tasks free, but that classes served before take: within half of the slack, and within all of it.
        var takenInHalfSlack = 0.0
        var takenInSlack = 0.0
        for (tasks in unplaced) {
            val cpus = tasks.spec.cpus
            val slackS = slackS(tasks.spec)
            val inHalfSlack = minOf(tasks.count * cpus, (freedCpusPerS * slackS / 2 - takenInHalfSlack).coerceAtLeast(0.0))
            val inSlack = minOf(tasks.count * cpus, (freedCpusPerS * slackS - takenInSlack).coerceAtLeast(0.0))
            takenInHalfSlack += inHalfSlack
            takenInSlack += inSlack
            val shortage = shortages.getOrPut(tasks.spec.placementClass) { Shortage() }
            shortage.add(tasks.count, slackS, tasks.spec.estimatedRunS)
            shortage.afterHalfSlack += tasks.count - inHalfSlack / cpus
            shortage.afterSlack += tasks.count - inSlack / cpus
        }
        return shortages.mapNotNull { (placementClass, shortage) -> shortage.toDemand(placementClass) }
    }

    /** At what rate running array tasks free processors, by their estimates. */
    private fun freedCpusPerS(): Double = jobTable.jobs
        .filter { it.spec.kind == JobKind.ARRAY && it.spec.estimatedRunS > 0 }
        .sumOf { it.liveAttempts.size * it.spec.cpus / it.spec.estimatedRunS }

    /**
     * For how long a task may wait in the queue: what its run and its image leave of the first objective of its class that
     * it can meet. One that meets none has all the time of the last: a machine more wouldn't help it.
     */
    private fun slackS(spec: JobSpec): Double {
        if (spec.kind != JobKind.ARRAY) return 0.0
        val fastestFetchGbPerS = inventory.types.values.maxOfOrNull { it.fetchGbPerS } ?: return 0.0
        val fetchS = spec.imageGb / fastestFetchGbPerS
        val objectivesS = completionObjectives[spec.className] ?: listOf(spec.deadlineS ?: return 0.0)
        val reachableS = objectivesS.firstOrNull { it > spec.estimatedRunS + fetchS }
        return if (reachableS != null) reachableS - spec.estimatedRunS - fetchS else objectivesS.last()
    }

    /** The tasks of a class for which running tasks leave no room in time. */
    private class Shortage {
        private var tasks = 0
        private var meanSlackS = 0.0
        private var meanRunS = 0.0

        /** Tasks without room after half of their slack; a machine rented later than that may boot too late. */
        var afterHalfSlack = 0.0

        /** Tasks without room after all of their slack. */
        var afterSlack = 0.0

        /** Jobs of a class have estimates of their own; their mean stands for the class. */
        fun add(count: Int, slackS: Double, runS: Double) {
            meanSlackS += (slackS - meanSlackS) * count / (tasks + count)
            meanRunS += (runS - meanRunS) * count / (tasks + count)
            tasks += count
        }

        fun toDemand(placementClass: PlacementClass): MachineDemand? {
            val wantedTasks = ceil(afterHalfSlack - RESOURCE_TOLERANCE).toInt()
            if (wantedTasks <= 0) return null
            val urgentTasks = ceil(afterSlack - RESOURCE_TOLERANCE).toInt()
            return MachineDemand(placementClass, wantedTasks, urgentTasks, meanSlackS, meanRunS)
        }
    }
}
