package cleathitch.peers

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A command for a worker that a follower delivers; without [commands] it is a question for the worker's report. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class DeliveryMessage(
    val id: Long,
    val machine: MachineId,
    val address: String,
    val incarnation: Long,
    val token: Long,
    val commands: List<WorkerCommandMessage>,
) {
    fun toCommand(): Effect.ToWorker = if (commands.isEmpty()) {
        Effect.Probe(machine, address)
    } else {
        Effect.SendCommands(machine, address, incarnation, FencingToken(token), commands.map { it.toWorkerCommand() })
    }

    companion object {
        fun of(id: Long, push: Effect.SendCommands) = DeliveryMessage(
            id,
            push.machine,
            push.address,
            push.incarnation,
            push.token.packed,
            push.commands.map(WorkerCommandMessage::of),
        )

        fun of(id: Long, inspect: Effect.Probe) =
            DeliveryMessage(id, inspect.machine, inspect.address, incarnation = 0, token = 0, commands = emptyList())
    }
}
