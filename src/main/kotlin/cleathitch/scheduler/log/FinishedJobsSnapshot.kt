package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId
import kotlinx.serialization.Serializable

/** The final states of jobs that are over, many to a value. */
@Serializable
data class FinishedJobsSnapshot(val done: List<JobId>, val cancelled: List<JobId>)
