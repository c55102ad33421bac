package cleathitch.scheduler.model

/** A machine's report. The larger ([incarnation], [sequenceNumber]) is the newer. */
data class Heartbeat(
    val machine: MachineId,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val incarnation: Long,
    val sequenceNumber: Long,
    val token: FencingToken,
    val preemptionNoticeS: Double?,
    val tasks: List<TaskStatus>,
)
