package cleathitch.scheduler.api

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId

/** A worker's heartbeat as a follower forwards it to the leader. */
sealed interface ForwardedHeartbeat {
    /** The machine of the worker that sent the heartbeat. */
    val machine: MachineId

    /** The heartbeat as the worker sent it. */
    data class Full(val heartbeat: Heartbeat) : ForwardedHeartbeat {
        override val machine get() = heartbeat.machine
    }

    /**
     * A heartbeat that is sent as its difference from a base: an earlier heartbeat of the same incarnation that this leader has
     * acknowledged. Only sequence number, token and preemption notice differ. [baseSequenceNumber] is the base's sequence number.
     */
    data class Unchanged(
        override val machine: MachineId,
        val incarnation: Long,
        val sequenceNumber: Long,
        val token: FencingToken,
        val preemptionNoticeS: Double?,
        val baseSequenceNumber: Long,
    ) : ForwardedHeartbeat
}
