package cleathitch.peers

import cleathitch.core.Effect
import cleathitch.core.MachineId
import cleathitch.core.OrderVersion
import cleathitch.core.Report
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** The report with which a worker answered a command that this node delivered for the leader of [term]. */
class DirectResult(val term: Long, val id: Long, val report: Report)

/** A command for a worker that a follower delivers; without [orders] it is a question for the worker's report. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class DirectMessage(
    val id: Long,
    val machine: MachineId,
    val address: String,
    val session: Long,
    val version: Long,
    val orders: List<OrderMessage>,
) {
    fun toCommand(): Effect.ToWorker = if (orders.isEmpty()) {
        Effect.Inspect(machine, address)
    } else {
        Effect.Push(machine, address, session, OrderVersion(version), orders.map { it.toOrder() })
    }

    companion object {
        fun of(id: Long, push: Effect.Push) =
            DirectMessage(id, push.machine, push.addr, push.session, push.version.packed, push.orders.map(OrderMessage::of))

        fun of(id: Long, inspect: Effect.Inspect) =
            DirectMessage(id, inspect.machine, inspect.addr, session = 0, version = 0, orders = emptyList())
    }
}

/** A worker's answer to the command [id], as the follower that delivered it tells the leader. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class DirectResultMessage(val id: Long, val report: ReportMessage)
