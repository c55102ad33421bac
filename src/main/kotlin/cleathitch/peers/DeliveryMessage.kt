package cleathitch.peers

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** Commands for one worker that a follower delivers for the leader; without [commands] it is a probe. [token] is [FencingToken.packed]. */
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
    /** The effect that this message carries. */
    fun toCommand(): Effect.ToWorker = if (commands.isEmpty()) {
        Effect.Probe(machine, address)
    } else {
        Effect.SendCommands(machine, address, incarnation, FencingToken(token), commands.map { it.toWorkerCommand() })
    }

    companion object {
        /** The message that delivers the commands of [effect]; the result will carry [id]. */
        fun of(id: Long, effect: Effect.SendCommands) = DeliveryMessage(
            id,
            effect.machine,
            effect.address,
            effect.incarnation,
            effect.token.packed,
            effect.commands.map(WorkerCommandMessage::of),
        )

        /** The message that asks a follower to probe a worker; the result will carry [id]. */
        fun of(id: Long, probe: Effect.Probe) =
            DeliveryMessage(id, probe.machine, probe.address, incarnation = 0, token = 0, commands = emptyList())
    }
}
