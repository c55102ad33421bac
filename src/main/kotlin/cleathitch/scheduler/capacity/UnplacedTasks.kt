package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.placement.ZoneAllowance

/** [count] tasks of a job that a scheduling round couldn't place, and the zones that may take them. */
data class UnplacedTasks(val spec: JobSpec, val count: Int, val allowance: ZoneAllowance = ZoneAllowance(null))
