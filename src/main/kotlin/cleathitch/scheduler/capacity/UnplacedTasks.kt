package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.JobSpec

/** [count] tasks of a job for which a scheduling round found no room. */
data class UnplacedTasks(val spec: JobSpec, val count: Int)
