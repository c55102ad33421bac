package cleathitch.peers

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.WorkerCommand
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * One command to a worker, in a decision about its heartbeat or in a delivery. [graceS] is in seconds and only used with
 * [Kind.STOP].
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class WorkerCommandMessage(val kind: Kind, val job: JobId, val index: Int, val attempt: Long, val graceS: Double) {
    /** The serial names are part of the message format. */
    @Serializable
    enum class Kind {
        @SerialName("start")
        START,

        @SerialName("stop")
        STOP,

        @SerialName("forget")
        FORGET,
    }

    /** The command that this message contains. */
    fun toWorkerCommand(): WorkerCommand {
        val id = AttemptId(TaskId(job, index), attempt)
        return when (kind) {
            Kind.START -> WorkerCommand.Start(id)
            Kind.STOP -> WorkerCommand.Stop(id, graceS)
            Kind.FORGET -> WorkerCommand.Forget(id)
        }
    }

    companion object {
        /** The message that contains [command]. */
        fun of(command: WorkerCommand): WorkerCommandMessage {
            val kind = when (command) {
                is WorkerCommand.Start -> Kind.START
                is WorkerCommand.Stop -> Kind.STOP
                is WorkerCommand.Forget -> Kind.FORGET
            }
            val graceS = (command as? WorkerCommand.Stop)?.graceS ?: 0.0
            val task = command.attempt.task
            return WorkerCommandMessage(kind, task.job, task.index, command.attempt.number, graceS)
        }
    }
}
