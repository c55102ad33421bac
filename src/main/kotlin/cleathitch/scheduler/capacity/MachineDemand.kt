package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.placement.ZoneAllowance

/** Tasks of one placement class that need new machines. */
data class MachineDemand(
    val placementClass: PlacementClass,
    /** The number of tasks that need a new machine. */
    val tasks: Int,
    /** The number of these tasks that can't wait: running tasks free too few resources for them even within their whole slack. */
    val urgentTasks: Int,
    /** How long the tasks may wait, including the boot time, and still meet their objective. */
    val slackS: Double = 0.0,
    /** The run time of one task; 0 if unknown. */
    val runS: Double = 0.0,
    /** How many of the tasks each zone may take. */
    val allowance: ZoneAllowance = ZoneAllowance(null),
) {
    /** The number of tasks that can run one after another on a new machine of [type] within the slack; at least 1. */
    fun consecutiveTasks(type: MachineType): Double = if (runS <= 0) 1.0 else ((slackS - type.bootS) / runS).coerceAtLeast(1.0)
}
