package cleathitch.scheduler.model

/** A worker's heartbeat with the status of its tasks. Of two, that with the larger ([incarnation], [sequenceNumber]) is newer. */
data class Heartbeat(
    val machine: MachineId,
    /** Where the worker takes direct commands, as `host:port`. */
    val address: String,
    /** Name of its [MachineType]. */
    val type: String,
    val zone: String,
    val spot: Boolean,
    /** Rises with each start of the worker's agent; tasks and images of an earlier incarnation are gone. */
    val incarnation: Long,
    /** Rises with each heartbeat of an incarnation. */
    val sequenceNumber: Long,
    /** The newest token that the worker has seen; it ignores commands with older ones. */
    val token: FencingToken,
    /** In how many seconds the cloud takes the machine; null without such a notice. */
    val preemptionNoticeS: Double?,
    val tasks: List<TaskStatus>,
)
