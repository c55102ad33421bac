package cleathitch.workers

import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.WorkerCommand

/** What a follower may tell a worker whose report it took in. */
sealed interface ForwardOutcome {
    /** The leader's own answer, the only one that renews the worker's lease. */
    data class Answered(val token: FencingToken, val commands: List<WorkerCommand>) : ForwardOutcome

    /** The leader refused the report, or gave no answer in time. */
    data object Unanswered : ForwardOutcome
}

/**
 * The reports that a follower has taken in and that wait for the leader's decision.
 *
 * At most one report of each machine waits: a worker has one in flight, so an older one has lost its sender. A report
 * that repeats what the leader acknowledged in its present term goes as a heartbeat. The queue has no clock and does
 * no I/O, and it decides nothing about a worker's lease.
 */
class HeartbeatQueue(private val answerWithinMs: Long) {
    internal class Waiting(val report: Heartbeat, val arrivedMs: Long, val reply: (ForwardOutcome) -> Unit)

    /** Reports on their way to the leader of [term], the whole ones before the heartbeats. */
    class Batch internal constructor(val term: Long, val reports: List<ForwardedHeartbeat>, internal val entries: List<Waiting>) {
        internal val oldestMs get() = entries.minOfOrNull { it.arrivedMs }
        val isEmpty get() = entries.isEmpty()
    }

    private val waiting = LinkedHashMap<MachineId, Waiting>()
    private var term = 0L

    /** The last report of each machine that the leader of [term] answered through this node. */
    private val acknowledged = HashMap<MachineId, Heartbeat>()

    val isEmpty get() = waiting.isEmpty()
    val isFull get() = waiting.size >= MAX_REPORTS

    /** Takes a report in; [reply] is called once, with the outcome. */
    fun add(report: Heartbeat, nowMs: Long, reply: (ForwardOutcome) -> Unit) {
        waiting.put(report.machine, Waiting(report, nowMs, reply))?.reply?.invoke(ForwardOutcome.Unanswered)
    }

    /** The next batch for the leader of [leaderTerm], empty if nothing waits. */
    fun nextBatch(leaderTerm: Long, nowMs: Long): Batch {
        dropExpired(nowMs)
        if (leaderTerm != term) {
            // Another leader holds no report of these machines from us, and may hold none at all.
            acknowledged.clear()
            term = leaderTerm
        }
        if (acknowledged.size > MAX_ACKNOWLEDGED) acknowledged.clear()
        val chosen = ArrayList<Pair<ForwardedHeartbeat, Waiting>>()
        var bytes = 0
        for (entry in waiting.values) {
            val forwarded = forwarded(entry.report)
            bytes += estimatedBytes(forwarded)
            val full = chosen.size == MAX_REPORTS || bytes > MAX_BYTES
            if (full && chosen.isNotEmpty()) break
            chosen += forwarded to entry
        }
        chosen.forEach { (_, entry) -> waiting.remove(entry.report.machine) }
        val wholeFirst = chosen.sortedBy { (forwarded, _) -> forwarded is ForwardedHeartbeat.Unchanged }
        return Batch(leaderTerm, wholeFirst.map { it.first }, wholeFirst.map { it.second })
    }

    /** For how long the leader's decisions about [batch] are of use. */
    fun timeLeftMs(batch: Batch, nowMs: Long) = (batch.oldestMs ?: nowMs) + answerWithinMs - nowMs

    /** The leader of [batch]'s term decided; [currentTerm] is that of the leader known by now, if there is one. */
    fun decided(batch: Batch, decisions: List<HeartbeatDecision>, currentTerm: Long?, nowMs: Long) {
        if (currentTerm != batch.term || decisions.size != batch.entries.size) return unanswered(batch)
        for ((entry, decision) in batch.entries.zip(decisions)) {
            when (decision) {
                is HeartbeatDecision.Answer -> answered(entry, decision, nowMs)
                HeartbeatDecision.Refuse -> entry.reply(ForwardOutcome.Unanswered)
                HeartbeatDecision.RequestFull -> sendAgain(entry)
            }
        }
    }

    private fun answered(entry: Waiting, answer: HeartbeatDecision.Answer, nowMs: Long) {
        acknowledged[entry.report.machine] = entry.report
        val inTime = nowMs - entry.arrivedMs < answerWithinMs
        entry.reply(if (inTime) ForwardOutcome.Answered(answer.token, answer.commands) else ForwardOutcome.Unanswered)
    }

    private fun sendAgain(entry: Waiting) {
        acknowledged.remove(entry.report.machine)
        // A newer report of the machine may have come meanwhile; then this one has lost its sender.
        val newer = waiting.putIfAbsent(entry.report.machine, entry)
        if (newer != null) entry.reply(ForwardOutcome.Unanswered)
    }

    /** No decisions about [batch] came, or none that may be used. */
    fun unanswered(batch: Batch) {
        batch.entries.forEach { it.reply(ForwardOutcome.Unanswered) }
    }

    /** Nobody leads whom the waiting reports could go to. */
    fun refuseAll() {
        val refused = waiting.values.toList()
        waiting.clear()
        refused.forEach { it.reply(ForwardOutcome.Unanswered) }
    }

    private fun dropExpired(nowMs: Long) {
        val expired = waiting.values.filter { nowMs - it.arrivedMs >= answerWithinMs }
        expired.forEach { waiting.remove(it.report.machine) }
        expired.forEach { it.reply(ForwardOutcome.Unanswered) }
    }

    private fun forwarded(report: Heartbeat): ForwardedHeartbeat {
        val base = acknowledged[report.machine]
        if (base == null || !repeats(report, base)) return ForwardedHeartbeat.Full(report)
        return ForwardedHeartbeat.Unchanged(
            report.machine,
            report.incarnation,
            report.sequenceNumber,
            report.token,
            report.preemptionNoticeS,
            baseSequenceNumber = base.sequenceNumber,
        )
    }

    private fun repeats(report: Heartbeat, base: Heartbeat) =
        report.copy(sequenceNumber = base.sequenceNumber, token = base.token, preemptionNoticeS = base.preemptionNoticeS) == base

    private fun estimatedBytes(forwarded: ForwardedHeartbeat): Int = when (forwarded) {
        is ForwardedHeartbeat.Unchanged -> HEARTBEAT_BYTES + forwarded.machine.text.length
        is ForwardedHeartbeat.Full -> forwarded.heartbeat.run {
            val texts = machine.text.length + address.length + type.length + zone.length
            val tasksBytes = tasks.sumOf { TASK_BYTES + it.attempt.task.job.text.length }
            REPORT_BYTES + BYTES_PER_CHAR * texts + tasksBytes
        }
    }

    companion object {
        /** So many reports are handed on at once; the estimated bytes bound batches of large reports. */
        const val MAX_REPORTS = 400

        /** Half of what a body may hold, since sizes are estimates. A single report always fits by far. */
        private const val MAX_BYTES = 32 * 1024

        /** Machines come and go; forgetting the gone ones all at once costs the present ones one whole report each. */
        private const val MAX_ACKNOWLEDGED = 10_000

        private const val HEARTBEAT_BYTES = 48
        private const val REPORT_BYTES = 64
        private const val TASK_BYTES = 48
        private const val BYTES_PER_CHAR = 4
    }
}
