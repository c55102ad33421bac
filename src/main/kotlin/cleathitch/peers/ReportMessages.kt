package cleathitch.peers

import cleathitch.core.AttemptId
import cleathitch.core.ExitReason
import cleathitch.core.ForwardedReport
import cleathitch.core.JobId
import cleathitch.core.MachineId
import cleathitch.core.Order
import cleathitch.core.OrderVersion
import cleathitch.core.Report
import cleathitch.core.ReportDecision
import cleathitch.core.ReportedTask
import cleathitch.core.TaskId
import cleathitch.core.TaskState
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** One task of a worker's report, as followers send it to the leader. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class TaskMessage(
    val job: JobId,
    val index: Int,
    val attempt: Long,
    val state: TaskState,
    val exitReason: ExitReason?,
    val saved: Boolean,
) {
    fun toTask() = ReportedTask(AttemptId(TaskId(job, index), attempt), state, exitReason, saved)

    companion object {
        fun of(task: ReportedTask) = TaskMessage(
            task.attempt.task.job,
            task.attempt.task.index,
            task.attempt.number,
            task.state,
            task.why,
            task.saved,
        )
    }
}

/** A whole report of a worker, as followers send it to the leader. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class ReportMessage(
    val machine: MachineId,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val session: Long,
    val seq: Long,
    val version: Long,
    val noticeS: Double?,
    val tasks: List<TaskMessage>,
) {
    fun toReport() = Report(
        machine, address, type, zone, spot, session, seq, OrderVersion(version), noticeS, tasks.map { it.toTask() },
    )

    companion object {
        fun of(report: Report) = ReportMessage(
            report.machine,
            report.addr,
            report.type,
            report.zone,
            report.spot,
            report.session,
            report.seq,
            report.version.packed,
            report.noticeS,
            report.tasks.map(TaskMessage::of),
        )
    }
}

/** A report that repeats an acknowledged one; see [ForwardedReport.Heartbeat]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class HeartbeatMessage(
    val machine: MachineId,
    val session: Long,
    val seq: Long,
    val version: Long,
    val noticeS: Double?,
    val baseSeq: Long,
) {
    fun toHeartbeat() = ForwardedReport.Heartbeat(machine, session, seq, OrderVersion(version), noticeS, baseSeq)

    companion object {
        fun of(heartbeat: ForwardedReport.Heartbeat) = HeartbeatMessage(
            heartbeat.machine,
            heartbeat.session,
            heartbeat.seq,
            heartbeat.version.packed,
            heartbeat.noticeS,
            heartbeat.baseSeq,
        )
    }
}

/** One command to a worker in the leader's decision about its report. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class OrderMessage(val kind: Kind, val job: JobId, val index: Int, val attempt: Long, val graceS: Double) {
    @Serializable
    enum class Kind {
        @SerialName("start")
        START,

        @SerialName("stop")
        STOP,

        @SerialName("forget")
        FORGET,
    }

    fun toOrder(): Order {
        val id = AttemptId(TaskId(job, index), attempt)
        return when (kind) {
            Kind.START -> Order.Start(id)
            Kind.STOP -> Order.Stop(id, graceS)
            Kind.FORGET -> Order.Forget(id)
        }
    }

    companion object {
        fun of(order: Order): OrderMessage {
            val kind = when (order) {
                is Order.Start -> Kind.START
                is Order.Stop -> Kind.STOP
                is Order.Forget -> Kind.FORGET
            }
            val graceS = (order as? Order.Stop)?.graceS ?: 0.0
            val task = order.attempt.task
            return OrderMessage(kind, task.job, task.index, order.attempt.number, graceS)
        }
    }
}

/** The leader's decision about one report of a batch. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class DecisionMessage(val kind: Kind, val version: Long, val orders: List<OrderMessage>) {
    @Serializable
    enum class Kind {
        @SerialName("a")
        ANSWER,

        @SerialName("r")
        REFUSE,

        @SerialName("w")
        SEND_WHOLE,
    }

    fun toDecision(): ReportDecision = when (kind) {
        Kind.ANSWER -> ReportDecision.Answer(OrderVersion(version), orders.map { it.toOrder() })
        Kind.REFUSE -> ReportDecision.Refuse
        Kind.SEND_WHOLE -> ReportDecision.SendWhole
    }

    companion object {
        private val refuse = DecisionMessage(Kind.REFUSE, 0, emptyList())
        private val sendWhole = DecisionMessage(Kind.SEND_WHOLE, 0, emptyList())

        fun of(decision: ReportDecision): DecisionMessage = when (decision) {
            is ReportDecision.Answer ->
                DecisionMessage(Kind.ANSWER, decision.version.packed, decision.orders.map(OrderMessage::of))
            ReportDecision.Refuse -> refuse
            ReportDecision.SendWhole -> sendWhole
        }
    }
}
