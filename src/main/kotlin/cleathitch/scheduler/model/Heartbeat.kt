package cleathitch.scheduler.model

/** A machine's report. The larger ([session], [seq]) is the newer. */
data class Heartbeat(
    val machine: MachineId,
    val addr: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val session: Long,
    val seq: Long,
    val version: FencingToken,
    val noticeS: Double?,
    val tasks: List<TaskStatus>,
)
