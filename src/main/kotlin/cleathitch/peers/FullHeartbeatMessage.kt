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
    val session: Long,
    val seq: Long,
    val version: Long,
    val noticeS: Double?,
    val tasks: List<TaskStatusMessage>,
) {
    fun toReport() = Heartbeat(
        machine, address, type, zone, spot, session, seq, FencingToken(version), noticeS, tasks.map { it.toTask() },
    )

    companion object {
        fun of(report: Heartbeat) = FullHeartbeatMessage(
            report.machine,
            report.addr,
            report.type,
            report.zone,
            report.spot,
            report.session,
            report.seq,
            report.version.packed,
            report.noticeS,
            report.tasks.map(TaskStatusMessage::of),
        )
    }
}
