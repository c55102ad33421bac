package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobSpec
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A job as it is after the record [lastIncludedIndex].
 *
 * @property acceptedAtWallMs when the job was accepted, by the wall clock
 * @property completedTasks a bit for each completed task, as [java.util.BitSet] writes them
 * @property liveAttempts attempts whose termination isn't confirmed
 * @property lastAttemptNumber the highest number that an attempt of the job has had
 */
@Serializable
@Suppress("ArrayInDataClass") // snapshots are never compared
data class JobSnapshot(
    @SerialName("upTo") val lastIncludedIndex: LogIndex,
    val spec: JobSpec,
    @SerialName("wallMs") val acceptedAtWallMs: Long,
    @SerialName("cancelled") val isCancelled: Boolean,
    @SerialName("done") val completedTasks: ByteArray,
    @SerialName("live") val liveAttempts: List<LiveAttempt>,
    @SerialName("lastNumber") val lastAttemptNumber: Long,
)
