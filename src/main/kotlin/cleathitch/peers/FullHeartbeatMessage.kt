package cleathitch.peers

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A whole report of a worker, as followers send it to the leader. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class FullHeartbeatMessage(
    val machine: MachineId,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val incarnation: Long,
    val sequenceNumber: Long,
    val token: Long,
    val preemptionNoticeS: Double?,
    val tasks: List<TaskStatusMessage>,
) {
    fun toHeartbeat() = Heartbeat(
        machine, address, type, zone, spot, incarnation, sequenceNumber, FencingToken(token), preemptionNoticeS,
        tasks.map {
            it.toTaskStatus()
        },
    )

    companion object {
        fun of(report: Heartbeat) = FullHeartbeatMessage(
            report.machine,
            report.address,
            report.type,
            report.zone,
            report.spot,
            report.incarnation,
            report.sequenceNumber,
            report.token.packed,
            report.preemptionNoticeS,
            report.tasks.map(TaskStatusMessage::of),
        )
    }
}
