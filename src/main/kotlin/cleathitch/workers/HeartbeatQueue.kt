package cleathitch.workers

import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId

/**
 * The heartbeats that a follower has received and that wait for the leader's decision.
 *
 * At most one heartbeat of each machine waits: a worker has one in flight, so the sender of an older one has given up. A
 * heartbeat that repeats what the leader acknowledged in its present term is forwarded as [ForwardedHeartbeat.Unchanged]. The
 * queue has no clock and does no I/O, and it decides nothing about a worker's lease. Confined to the event loop of its owner.
 */
class HeartbeatQueue(private val answerTimeoutMs: Long) {
    internal class PendingHeartbeat(val heartbeat: Heartbeat, val arrivedMs: Long, val complete: (ForwardOutcome) -> Unit)

    /** Heartbeats on their way to the leader of [term], the full ones before the unchanged ones. */
    class Batch internal constructor(
        val term: Long,
        val heartbeats: List<ForwardedHeartbeat>,
        internal val entries: List<PendingHeartbeat>,
    ) {
        internal val oldestMs get() = entries.minOfOrNull { it.arrivedMs }
        val isEmpty get() = entries.isEmpty()
    }

    private val waiting = LinkedHashMap<MachineId, PendingHeartbeat>()
    private var term = 0L

    /** The last heartbeat of each machine that the leader of [term] answered through this controller. */
    private val acknowledged = HashMap<MachineId, Heartbeat>()

    /** No heartbeat waits to be sent. */
    val isEmpty get() = waiting.isEmpty()

    /** A whole batch waits, so the next one need not wait for more. */
    val isFull get() = waiting.size >= MAX_HEARTBEATS_PER_BATCH

    /** Adds a heartbeat; [complete] is called once, with the outcome. */
    fun add(heartbeat: Heartbeat, nowMs: Long, complete: (ForwardOutcome) -> Unit) {
        val replaced = waiting.put(heartbeat.machine, PendingHeartbeat(heartbeat, nowMs, complete))
        replaced?.complete?.invoke(ForwardOutcome.Unanswered)
    }

    /** The next batch for the leader of [leaderTerm], empty if nothing waits. */
    fun nextBatch(leaderTerm: Long, nowMs: Long): Batch {
        dropExpired(nowMs)
        forgetAcknowledged(leaderTerm)
        val chosen = takeForBatch()
        val fullFirst = chosen.sortedBy { it.forwarded is ForwardedHeartbeat.Unchanged }
        return Batch(leaderTerm, fullFirst.map { it.forwarded }, fullFirst.map { it.entry })
    }

    private class BatchEntry(val forwarded: ForwardedHeartbeat, val entry: PendingHeartbeat)

    /** Removes the oldest waiting heartbeats, as many as fit into a batch, and at least one if any waits. */
    private fun takeForBatch(): List<BatchEntry> {
        val chosen = ArrayList<BatchEntry>()
        var bytes = 0
        for (entry in waiting.values) {
            val forwarded = forwarded(entry.heartbeat)
            bytes += estimatedBytes(forwarded)
            val isFull = chosen.size == MAX_HEARTBEATS_PER_BATCH || bytes > MAX_BATCH_BYTES
            if (isFull && chosen.isNotEmpty()) break
            chosen += BatchEntry(forwarded, entry)
        }
        chosen.forEach { waiting.remove(it.entry.heartbeat.machine) }
        return chosen
    }

    private fun forgetAcknowledged(leaderTerm: Long) {
        if (leaderTerm != term) {
            // Another leader has received no heartbeat of these machines from us, and may have received none at all.
            acknowledged.clear()
            term = leaderTerm
        }
        if (acknowledged.size > MAX_ACKNOWLEDGED) acknowledged.clear()
    }

    /** Milliseconds until the leader's decisions about [batch] come too late for its oldest heartbeat. */
    fun timeLeftMs(batch: Batch, nowMs: Long) = (batch.oldestMs ?: nowMs) + answerTimeoutMs - nowMs

    /**
     * Completes [batch] with the leader's [decisions], in the same order. They count only if [currentTerm], that of the leader
     * known by now, is still the batch's: a later leader may have decided otherwise.
     */
    fun completeDecided(batch: Batch, decisions: List<HeartbeatDecision>, currentTerm: Long?, nowMs: Long) {
        if (currentTerm != batch.term || decisions.size != batch.entries.size) return completeUnanswered(batch)
        for ((entry, decision) in batch.entries.zip(decisions)) {
            when (decision) {
                is HeartbeatDecision.Answer -> completeAnswered(entry, decision, nowMs)
                HeartbeatDecision.Refuse -> entry.complete(ForwardOutcome.Unanswered)
                HeartbeatDecision.RequestFull -> requeueAsFull(entry)
            }
        }
    }

    private fun completeAnswered(entry: PendingHeartbeat, answer: HeartbeatDecision.Answer, nowMs: Long) {
        acknowledged[entry.heartbeat.machine] = entry.heartbeat
        val isInTime = nowMs - entry.arrivedMs < answerTimeoutMs
        entry.complete(if (isInTime) ForwardOutcome.Answered(answer.token, answer.commands) else ForwardOutcome.Unanswered)
    }

    private fun requeueAsFull(entry: PendingHeartbeat) {
        acknowledged.remove(entry.heartbeat.machine)
        // A newer heartbeat of the machine may have come meanwhile; then the sender of this one has given up.
        val newer = waiting.putIfAbsent(entry.heartbeat.machine, entry)
        if (newer != null) entry.complete(ForwardOutcome.Unanswered)
    }

    /** Completes [batch] without decisions: none came, or none that may be used. */
    fun completeUnanswered(batch: Batch) {
        batch.entries.forEach { it.complete(ForwardOutcome.Unanswered) }
    }

    /** Completes every waiting heartbeat without a decision, since there is no leader to forward it to. */
    fun completeAllUnanswered() {
        val unanswered = waiting.values.toList()
        waiting.clear()
        unanswered.forEach { it.complete(ForwardOutcome.Unanswered) }
    }

    private fun dropExpired(nowMs: Long) {
        val expired = waiting.values.filter { nowMs - it.arrivedMs >= answerTimeoutMs }
        expired.forEach { waiting.remove(it.heartbeat.machine) }
        expired.forEach { it.complete(ForwardOutcome.Unanswered) }
    }

    private fun forwarded(heartbeat: Heartbeat): ForwardedHeartbeat {
        val base = acknowledged[heartbeat.machine]
        if (base == null || !repeats(heartbeat, base)) return ForwardedHeartbeat.Full(heartbeat)
        return ForwardedHeartbeat.Unchanged(
            heartbeat.machine,
            heartbeat.incarnation,
            heartbeat.sequenceNumber,
            heartbeat.token,
            heartbeat.preemptionNoticeS,
            baseSequenceNumber = base.sequenceNumber,
        )
    }

    private fun repeats(heartbeat: Heartbeat, base: Heartbeat) =
        heartbeat.copy(sequenceNumber = base.sequenceNumber, token = base.token, preemptionNoticeS = base.preemptionNoticeS) == base

    private fun estimatedBytes(forwarded: ForwardedHeartbeat): Int = when (forwarded) {
        is ForwardedHeartbeat.Unchanged -> UNCHANGED_HEARTBEAT_BYTES + forwarded.machine.text.length
        is ForwardedHeartbeat.Full -> forwarded.heartbeat.run {
            val texts = machine.text.length + address.length + type.length + zone.length
            val tasksBytes = tasks.sumOf { TASK_BYTES + it.attempt.task.job.text.length }
            FULL_HEARTBEAT_BYTES + BYTES_PER_CHAR * texts + tasksBytes
        }
    }

    companion object {
        /** With [MAX_BATCH_BYTES] as a second bound, for batches of large heartbeats. */
        const val MAX_HEARTBEATS_PER_BATCH = 400

        /** Half of a body, since sizes are estimates. A larger heartbeat is a batch of its own, which fits into a peer's body. */
        private const val MAX_BATCH_BYTES = 32 * 1024

        /** Bounds the entries of terminated machines. Clearing all at once costs each present machine one full heartbeat. */
        private const val MAX_ACKNOWLEDGED = 10_000

        private const val UNCHANGED_HEARTBEAT_BYTES = 48
        private const val FULL_HEARTBEAT_BYTES = 64
        private const val TASK_BYTES = 48
        private const val BYTES_PER_CHAR = 4
    }
}
