package cleathitch.peers

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** One task of a worker's heartbeat, as followers send it to the leader. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class TaskStatusMessage(
    val job: JobId,
    val index: Int,
    val attempt: Long,
    val state: TaskState,
    val exitReason: ExitReason?,
    val saved: Boolean,
) {
    /** The status that this message contains. */
    fun toTaskStatus() = TaskStatus(AttemptId(TaskId(job, index), attempt), state, exitReason, saved)

    companion object {
        /** The message that contains the status of [task]. */
        fun of(task: TaskStatus) = TaskStatusMessage(
            task.attempt.task.job,
            task.attempt.task.index,
            task.attempt.number,
            task.state,
            task.exitReason,
            task.saved,
        )
    }
}
