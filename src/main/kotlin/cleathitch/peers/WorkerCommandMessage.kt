package cleathitch.peers

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.WorkerCommand
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** One command to a worker in the leader's decision about its report. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class WorkerCommandMessage(val kind: Kind, val job: JobId, val index: Int, val attempt: Long, val graceS: Double) {
    @Serializable
    enum class Kind {
        @SerialName("start")
        START,

        @SerialName("stop")
        STOP,

        @SerialName("forget")
        FORGET,
    }

    fun toWorkerCommand(): WorkerCommand {
        val id = AttemptId(TaskId(job, index), attempt)
        return when (kind) {
            Kind.START -> WorkerCommand.Start(id)
            Kind.STOP -> WorkerCommand.Stop(id, graceS)
            Kind.FORGET -> WorkerCommand.Forget(id)
        }
    }

    companion object {
        fun of(order: WorkerCommand): WorkerCommandMessage {
            val kind = when (order) {
                is WorkerCommand.Start -> Kind.START
                is WorkerCommand.Stop -> Kind.STOP
                is WorkerCommand.Forget -> Kind.FORGET
            }
            val graceS = (order as? WorkerCommand.Stop)?.graceS ?: 0.0
            val task = order.attempt.task
            return WorkerCommandMessage(kind, task.job, task.index, order.attempt.number, graceS)
        }
    }
}
