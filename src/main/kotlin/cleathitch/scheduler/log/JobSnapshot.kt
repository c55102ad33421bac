package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobSpec
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The state of a job as of record [lastIncludedIndex].
 *
 * @property acceptedAtWallMs the wall-clock time at which the job was accepted
 * @property completedTasks the indexes of the completed tasks, in the format of [java.util.BitSet.toByteArray]
 * @property liveAttempts the attempts whose termination isn't confirmed
 * @property lastAttemptNumber the highest attempt number used for the job
 */
@Serializable
@Suppress("ArrayInDataClass") // production code never compares snapshots
data class JobSnapshot(
    @SerialName("upTo") val lastIncludedIndex: LogIndex,
    val spec: JobSpec,
    @SerialName("wallMs") val acceptedAtWallMs: Long,
    @SerialName("cancelled") val isCancelled: Boolean,
    @SerialName("done") val completedTasks: ByteArray,
    @SerialName("live") val liveAttempts: List<LiveAttempt>,
    @SerialName("lastNumber") val lastAttemptNumber: Long,
)
