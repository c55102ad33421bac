package cleathitch.peers

import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A heartbeat with the same content as an acknowledged one; see [ForwardedHeartbeat.Unchanged]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class UnchangedHeartbeatMessage(
    val machine: MachineId,
    val incarnation: Long,
    val sequenceNumber: Long,
    val token: Long,
    val preemptionNoticeS: Double?,
    val baseSequenceNumber: Long,
) {
    /** The heartbeat that this message contains. */
    fun toHeartbeat() =
        ForwardedHeartbeat.Unchanged(machine, incarnation, sequenceNumber, FencingToken(token), preemptionNoticeS, baseSequenceNumber)

    companion object {
        /** The message that contains [heartbeat]. */
        fun of(heartbeat: ForwardedHeartbeat.Unchanged) = UnchangedHeartbeatMessage(
            heartbeat.machine,
            heartbeat.incarnation,
            heartbeat.sequenceNumber,
            heartbeat.token.packed,
            heartbeat.preemptionNoticeS,
            heartbeat.baseSequenceNumber,
        )
    }
}
