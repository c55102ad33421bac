package cleathitch.scheduler.model

/**
 * A worker's heartbeat with the status of its tasks. A heartbeat is newer than another one of the same machine if its [incarnation] is
 * larger, or if the incarnations are equal and its [sequenceNumber] is larger.
 */
data class Heartbeat(
    val machine: MachineId,
    /** Address at which the worker accepts direct commands, as `host:port`. */
    val address: String,
    /** Name of the machine's [MachineType]. */
    val type: String,
    val zone: String,
    val spot: Boolean,
    /** Increases with each start of the worker's agent; tasks and images of an earlier incarnation are lost. */
    val incarnation: Long,
    /** Increases with each heartbeat of an incarnation. */
    val sequenceNumber: Long,
    /** The newest token that the worker has seen; it rejects commands with older tokens. */
    val token: FencingToken,
    /** Seconds until the cloud provider reclaims the machine; null without a preemption notice. */
    val preemptionNoticeS: Double?,
    val tasks: List<TaskStatus>,
)
