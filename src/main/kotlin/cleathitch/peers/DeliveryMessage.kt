package cleathitch.peers

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A command for a worker that a follower delivers; without [orders] it is a question for the worker's report. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class DeliveryMessage(
    val id: Long,
    val machine: MachineId,
    val address: String,
    val session: Long,
    val version: Long,
    val orders: List<WorkerCommandMessage>,
) {
    fun toCommand(): Effect.ToWorker = if (orders.isEmpty()) {
        Effect.Probe(machine, address)
    } else {
        Effect.SendCommands(machine, address, session, FencingToken(version), orders.map { it.toOrder() })
    }

    companion object {
        fun of(id: Long, push: Effect.SendCommands) =
            DeliveryMessage(id, push.machine, push.addr, push.session, push.version.packed, push.orders.map(WorkerCommandMessage::of))

        fun of(id: Long, inspect: Effect.Probe) =
            DeliveryMessage(id, inspect.machine, inspect.addr, session = 0, version = 0, orders = emptyList())
    }
}
