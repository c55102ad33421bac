package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.machines.Inventory

/**
 * How many more tasks of a job each zone may take, by the job's zone constraints and its live attempts. It is computed once per job and
 * round and used by placement, preemption and the demand for machines, so that room is only sought where the job may use it.
 */
data class ZoneAllowance(
    /** The number of further tasks by zone; a zone without an entry may take none. Null if the job has no such constraint. */
    val tasksByZone: Map<String, Int>?,
    /** Whether all further tasks have to share one of the zones, whichever it is. */
    val needsSingleZone: Boolean = false,
) {
    /** Whether the zone may take another task. */
    operator fun contains(zone: String) = remaining(zone) > 0

    /** The number of further tasks that the zone may take. */
    fun remaining(zone: String): Int = if (tasksByZone == null) Int.MAX_VALUE else tasksByZone[zone] ?: 0

    /** The allowance after [tasks] further tasks have been assigned to [zone]. */
    fun after(zone: String, tasks: Int = 1): ZoneAllowance = when {
        tasksByZone == null || tasks == 0 -> this
        needsSingleZone -> ZoneAllowance(mapOf(zone to remaining(zone) - tasks))
        else -> ZoneAllowance(tasksByZone + (zone to remaining(zone) - tasks))
    }

    /** The allowance in [zones] alone. */
    fun only(zones: Set<String>) =
        ZoneAllowance(tasksByZone?.filterKeys { it in zones } ?: zones.associateWith { Int.MAX_VALUE }, needsSingleZone)

    /** The zones that may take another task, null if all may. */
    val openZones: Set<String>? get() = tasksByZone?.filterValues { it > 0 }?.keys

    /** The allowance of two jobs together. */
    operator fun plus(other: ZoneAllowance): ZoneAllowance {
        if (tasksByZone == null || other.tasksByZone == null) return UNRESTRICTED
        val zones = tasksByZone.keys + other.tasksByZone.keys
        return ZoneAllowance(zones.associateWith { remaining(it) + other.remaining(it) }, needsSingleZone || other.needsSingleZone)
    }

    companion object {
        private val UNRESTRICTED = ZoneAllowance(null)
        private val NONE = ZoneAllowance(emptyMap())

        /**
         * Evaluates the job's `zone`, `oneZone` and `spread` constraints. The number of the job's tasks in a zone includes every attempt
         * that may still be running there. If the zone of such an attempt is unknown, no zone may take a task.
         */
        fun of(job: Job, inventory: Inventory): ZoneAllowance {
            val spec = job.spec
            if (!spec.oneZone && !spec.spread) return UNRESTRICTED
            val liveByZone = countTasksByZone(job, inventory) ?: return NONE
            val zones = inventory.zones.filter { spec.zone == null || it == spec.zone }
            return when {
                spec.oneZone && liveByZone.isNotEmpty() -> ZoneAllowance(liveByZone.mapValues { job.waitingTasks })
                spec.spread -> ZoneAllowance(
                    zones.associateWith { (spec.maxPerZone - (liveByZone[it] ?: 0)).coerceIn(0, job.waitingTasks) },
                )
                else -> ZoneAllowance(zones.associateWith { job.waitingTasks }, needsSingleZone = zones.size > 1)
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
