package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The final states of many finished jobs, in one stored value. */
@Serializable
data class FinishedJobsSnapshot(@SerialName("done") val completed: List<JobId>, val cancelled: List<JobId>)
