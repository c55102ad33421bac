package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The final states of a chunk of finished jobs, stored as one value. */
@Serializable
data class FinishedJobsSnapshot(@SerialName("done") val completed: List<JobId>, val cancelled: List<JobId>)
