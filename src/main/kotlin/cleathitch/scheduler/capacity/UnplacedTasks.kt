package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.JobSpec

/** [count] tasks of a job that a scheduling round couldn't place. */
data class UnplacedTasks(val spec: JobSpec, val count: Int)
