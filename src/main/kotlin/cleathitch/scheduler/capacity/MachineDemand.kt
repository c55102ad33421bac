package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.PlacementClass

/** Tasks of one class for which new machines are wanted. */
data class MachineDemand(
    val placementClass: PlacementClass,
    /** How many tasks want a new machine. */
    val tasks: Int,
    /** For how many of them running tasks leave no room in time either. */
    val urgentTasks: Int,
    /** For how long the tasks may wait and still meet their objective, boot time included. */
    val slackS: Double = 0.0,
    /** For how long one task runs; 0 when unknown. */
    val runS: Double = 0.0,
) {
    /** How many tasks may run on a new machine of [type] one after the other, within the slack; 1 at least. */
    fun consecutiveTasks(type: MachineType): Double = if (runS <= 0) 1.0 else ((slackS - type.bootS) / runS).coerceAtLeast(1.0)
}
