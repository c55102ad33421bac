package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.machines.Inventory

/** The zones in which the next task of a job may start. */
internal sealed interface AllowedZones {
    operator fun contains(zone: String): Boolean

    /** The job has no rule about zones. */
    data object All : AllowedZones {
        override fun contains(zone: String) = true
    }

    /** The job's rules leave just [zones]. */
    data class Only(val zones: Set<String>) : AllowedZones {
        override fun contains(zone: String) = zone in zones
    }

    companion object {
        /**
         * The zones that the job's own zone rules leave. Tasks that may still be running count where they may be; where one may
         * run on a machine whose zone isn't known, no zone is safe.
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

        /** The number of the job's live attempts in each zone; null if one may run on a machine whose zone isn't known. */
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
