package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.JobSpec

/** Tasks of a job that found no room. */
data class UnplacedTasks(val spec: JobSpec, val count: Int)
