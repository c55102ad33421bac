package cleathitch.peers

import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A report that repeats an acknowledged one; see [ForwardedHeartbeat.Unchanged]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class UnchangedHeartbeatMessage(
    val machine: MachineId,
    val session: Long,
    val seq: Long,
    val version: Long,
    val noticeS: Double?,
    val baseSeq: Long,
) {
    fun toHeartbeat() = ForwardedHeartbeat.Unchanged(machine, session, seq, FencingToken(version), noticeS, baseSeq)

    companion object {
        fun of(heartbeat: ForwardedHeartbeat.Unchanged) = UnchangedHeartbeatMessage(
            heartbeat.machine,
            heartbeat.session,
            heartbeat.seq,
            heartbeat.version.packed,
            heartbeat.noticeS,
            heartbeat.baseSeq,
        )
    }
}
