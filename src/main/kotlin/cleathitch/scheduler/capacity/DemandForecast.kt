package cleathitch.scheduler.capacity

import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.RESOURCE_TOLERANCE
import cleathitch.scheduler.placement.ZoneAllowance
import kotlin.math.ceil

/**
 * Forecasts how many of the unplaced tasks need new machines. Running tasks complete and free resources, often sooner than a new
 * machine boots; as long as unplaced tasks can wait for that and still meet their objective, nothing is rented for them.
 */
class DemandForecast(
    private val inventory: Inventory,
    private val jobTable: JobTable,
    /** The completion objectives of each job class, in seconds after submission, in ascending order. */
    private val completionObjectives: Map<String, List<Double>>,
) {
    /** Demands of the same class are merged unless different zones may take them, because machines then help one but not the other. */
    private data class DemandKey(val placementClass: PlacementClass, val zones: Set<String>?)

    /** The demands of [unplaced], one per placement class and set of allowed zones, in the order in which these first appear there. */
    fun demands(unplaced: List<UnplacedTasks>): List<MachineDemand> {
        if (unplaced.isEmpty()) return emptyList()
        val freedCpusPerS = FreedCpus.perS(jobTable)
        val shortages = LinkedHashMap<DemandKey, Shortage>()
        // Each entry reserves CPUs that running tasks free in time, so that later entries don't count on them too. CPUs that are freed
        // within half of an entry's slack and CPUs that are freed within all of it are counted separately.
        var reservedInHalfSlack = 0.0
        var reservedInSlack = 0.0
        for (tasks in unplaced) {
            val cpus = tasks.spec.cpus
            val slackS = slackS(tasks.spec)
            val inHalfSlack = minOf(tasks.count * cpus, (freedCpusPerS * slackS / 2 - reservedInHalfSlack).coerceAtLeast(0.0))
            val inSlack = minOf(tasks.count * cpus, (freedCpusPerS * slackS - reservedInSlack).coerceAtLeast(0.0))
            reservedInHalfSlack += inHalfSlack
            reservedInSlack += inSlack
            val shortage = shortages.getOrPut(DemandKey(tasks.spec.placementClass, tasks.allowance.openZones)) { Shortage() }
            shortage.add(tasks, slackS)
            shortage.afterHalfSlack += tasks.count - inHalfSlack / cpus
            shortage.afterSlack += tasks.count - inSlack / cpus
        }
        return shortages.mapNotNull { (key, shortage) -> shortage.toDemand(key.placementClass) }
    }

    /**
     * How long a task may wait in the queue: the shortest objective of its class that it can meet, less its run time and the time to
     * fetch its image. If it can't meet any, a new machine wouldn't help; it may then wait for the full time of the longest objective.
     */
    private fun slackS(spec: JobSpec): Double {
        if (spec.kind != JobKind.ARRAY) return 0.0
        val fastestFetchGbPerS = inventory.types.values.maxOfOrNull { it.fetchGbPerS } ?: return 0.0
        val fetchS = spec.imageGb / fastestFetchGbPerS
        val objectivesS = completionObjectives[spec.className] ?: listOf(spec.deadlineS ?: return 0.0)
        val reachableS = objectivesS.firstOrNull { it > spec.estimatedRunS + fetchS }
        return if (reachableS != null) reachableS - spec.estimatedRunS - fetchS else objectivesS.last()
    }

    /** The tasks of one placement class that can't be placed in time because running tasks free too few resources. */
    private class Shortage {
        private var tasks = 0
        private var meanSlackS = 0.0
        private var meanRunS = 0.0
        private var allowance: ZoneAllowance? = null

        /** Tasks that still don't fit after half of their slack; a machine rented later than that may boot too late. */
        var afterHalfSlack = 0.0

        /** Tasks that still don't fit after all of their slack. */
        var afterSlack = 0.0

        /** Jobs of a placement class may differ in slack and estimated run time; the demand uses the means over its tasks. */
        fun add(added: UnplacedTasks, slackS: Double) {
            val total = tasks + added.count
            meanSlackS += (slackS - meanSlackS) * added.count / total
            meanRunS += (added.spec.estimatedRunS - meanRunS) * added.count / total
            tasks = total
            allowance = allowance?.plus(added.allowance) ?: added.allowance
        }

        fun toDemand(placementClass: PlacementClass): MachineDemand? {
            val wantedTasks = ceil(afterHalfSlack - RESOURCE_TOLERANCE).toInt()
            if (wantedTasks <= 0) return null
            val urgentTasks = ceil(afterSlack - RESOURCE_TOLERANCE).toInt()
            return MachineDemand(placementClass, wantedTasks, urgentTasks, meanSlackS, meanRunS, allowance ?: ZoneAllowance(null))
        }
    }
}
