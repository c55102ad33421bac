package cleathitch.peers

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** Commands that a follower delivers to a worker; without [commands], the follower probes the worker. [token] is [FencingToken.packed]. */
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
    /** The effect that this message contains. */
    fun toCommand(): Effect.ToWorker = if (commands.isEmpty()) {
        Effect.Probe(machine, address)
    } else {
        Effect.SendCommands(machine, address, incarnation, FencingToken(token), commands.map { it.toWorkerCommand() })
    }

    companion object {
        /** The message that delivers the commands of [effect]; the result will have the same [id]. */
        fun of(id: Long, effect: Effect.SendCommands) = DeliveryMessage(
            id,
            effect.machine,
            effect.address,
            effect.incarnation,
            effect.token.packed,
            effect.commands.map(WorkerCommandMessage::of),
        )

        /** The message that asks a follower to send [probe]; the result will have the same [id]. */
        fun of(id: Long, probe: Effect.Probe) =
            DeliveryMessage(id, probe.machine, probe.address, incarnation = 0, token = 0, commands = emptyList())
    }
}
