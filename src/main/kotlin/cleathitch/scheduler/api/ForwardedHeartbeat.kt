package cleathitch.scheduler.api

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId

/** A worker's report as a follower passes it on to the leader. */
sealed interface ForwardedHeartbeat {
    val machine: MachineId

    /** The report as the worker sent it. */
    data class Full(val report: Heartbeat) : ForwardedHeartbeat {
        override val machine get() = report.machine
    }

    /**
     * A report that equals an earlier one of the same session in everything but its sequence number, version and
     * spot notice. [baseSequenceNumber] is the sequence number of that earlier report, which this leader acknowledged.
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
