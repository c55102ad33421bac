package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.machines.Inventory

/** The zones in which the next task of a job may be placed. */
internal sealed interface AllowedZones {
    operator fun contains(zone: String): Boolean

    /** The job has no zone constraint that depends on its running tasks, so every zone is allowed. */
    data object All : AllowedZones {
        override fun contains(zone: String) = true
    }

    /** Only [zones] satisfy the job's constraints. */
    data class Only(val zones: Set<String>) : AllowedZones {
        override fun contains(zone: String) = zone in zones
    }

    companion object {
        /**
         * Evaluates the job's `oneZone` and `spread` constraints. The number of the job's tasks in a zone includes every attempt that
         * may still be running there. If the zone of such an attempt is unknown, no zone is allowed.
         */
        fun of(job: Job, inventory: Inventory): AllowedZones {
            val spec = job.spec
            if (!spec.oneZone && !spec.spread) return All
            val tasksByZone = countTasksByZone(job, inventory) ?: return Only(emptySet())
            return when {
                spec.oneZone && tasksByZone.isNotEmpty() -> Only(tasksByZone.keys)
                spec.spread -> Only(inventory.zones.filterTo(HashSet()) { (tasksByZone[it] ?: 0) < spec.maxPerZone })
                else -> Only(inventory.zones)
            }
        }

        /** The number of the job's live attempts per zone, or null if an attempt's machine isn't in the inventory. */
        private fun countTasksByZone(job: Job, inventory: Inventory): Map<String, Int>? {
            val tasksByZone = HashMap<String, Int>()
            for (attempt in job.liveAttempts.values) {
                val zone = inventory.machines[attempt.machine]?.offer?.zone ?: return null
                tasksByZone.merge(zone, 1, Int::plus)
            }
            return tasksByZone
        }
    }
}
