package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobSpec
import kotlinx.serialization.Serializable

/** A job's cell as it stands after the record [upTo]. */
@Serializable
@Suppress("ArrayInDataClass") // never compared
data class JobSnapshot(
    val upTo: Long,
    val spec: JobSpec,
    val wallMs: Long,
    val cancelled: Boolean,
    val done: ByteArray,
    val live: List<LiveAttempt>,
    val lastNumber: Long,
)
