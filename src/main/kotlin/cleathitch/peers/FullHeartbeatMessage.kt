package cleathitch.peers

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A worker's full heartbeat, as followers send it to the leader; [preemptionNoticeS] is in seconds. */
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
    /** The heartbeat that this message contains. */
    fun toHeartbeat() = Heartbeat(
        machine,
        address,
        type,
        zone,
        spot,
        incarnation,
        sequenceNumber,
        FencingToken(token),
        preemptionNoticeS,
        tasks.map { it.toTaskStatus() },
    )

    companion object {
        /** The message that contains [heartbeat]. */
        fun of(heartbeat: Heartbeat) = FullHeartbeatMessage(
            heartbeat.machine,
            heartbeat.address,
            heartbeat.type,
            heartbeat.zone,
            heartbeat.spot,
            heartbeat.incarnation,
            heartbeat.sequenceNumber,
            heartbeat.token.packed,
            heartbeat.preemptionNoticeS,
            heartbeat.tasks.map(TaskStatusMessage::of),
        )
    }
}
