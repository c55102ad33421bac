package cleathitch.core

/** A worker's report as a follower passes it on to the leader. */
sealed interface ForwardedReport {
    val machine: MachineId

    /** The report as the worker sent it. */
    data class Whole(val report: Report) : ForwardedReport {
        override val machine get() = report.machine
    }

    /**
     * A report that equals an earlier one of the same session in everything but its sequence number, version and
     * spot notice. [baseSeq] is the sequence number of that earlier report, which this leader acknowledged.
     */
    data class Heartbeat(
        override val machine: MachineId,
        val session: Long,
        val seq: Long,
        val version: OrderVersion,
        val noticeS: Double?,
        val baseSeq: Long,
    ) : ForwardedReport
}

/** What the leader decided about one report. Only an [Answer] may renew a worker's lease. */
sealed interface ReportDecision {
    data class Answer(val version: OrderVersion, val orders: List<Order>) : ReportDecision

    /** The worker must not get an answer that renews its lease. */
    data object Refuse : ReportDecision

    /** The leader doesn't hold the heartbeat's base, and decides once it has the whole report. */
    data object SendWhole : ReportDecision
}
