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
            val tasksByZone = HashMap<String, Int>()
            for (attempt in job.liveAttempts.values) {
                val zone = inventory.machines[attempt.machine]?.offer?.zone ?: return Only(emptySet())
                tasksByZone.merge(zone, 1, Int::plus)
            }
            if (spec.oneZone && tasksByZone.isNotEmpty()) return Only(tasksByZone.keys)
            if (!spec.spread) return Only(inventory.zones)
            return Only(inventory.zones.filterTo(HashSet()) { (tasksByZone[it] ?: 0) < spec.maxPerZone })
        }
    }
}
