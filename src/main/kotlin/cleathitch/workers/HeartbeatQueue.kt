package cleathitch.workers

import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId

/**
 * The heartbeats that a follower has received and on which the leader is to decide.
 *
 * At most one heartbeat per machine is queued: a worker has only one request in flight, so when a newer heartbeat arrives, the
 * older one has timed out at the worker. A heartbeat with the same content as one that the leader acknowledged in its current
 * term is forwarded as [ForwardedHeartbeat.Unchanged]. The queue has no clock, does no I/O, and never renews a worker's lease on
 * its own. Confined to the event loop of its owner.
 */
class HeartbeatQueue(private val answerTimeoutMs: Long) {
    internal class PendingHeartbeat(val heartbeat: Heartbeat, val arrivedMs: Long, val complete: (ForwardOutcome) -> Unit)

    /** Heartbeats to send to the leader of [term] in one request, full ones before unchanged ones. */
    class Batch internal constructor(
        val term: Long,
        val heartbeats: List<ForwardedHeartbeat>,
        internal val entries: List<PendingHeartbeat>,
    ) {
        internal val oldestArrivalMs get() = entries.minOfOrNull { it.arrivedMs }
        val isEmpty get() = entries.isEmpty()
    }

    private val waiting = LinkedHashMap<MachineId, PendingHeartbeat>()
    private var term = 0L

    /** For each machine, the last heartbeat that this controller forwarded and the leader of [term] answered. */
    private val acknowledged = HashMap<MachineId, Heartbeat>()

    /** Whether no heartbeat is waiting to be sent. */
    val isEmpty get() = waiting.isEmpty()

    /** Whether enough heartbeats are waiting for a full batch, which can be sent without waiting for more. */
    val isFull get() = waiting.size >= MAX_HEARTBEATS_PER_BATCH

    /** Queues a heartbeat; [complete] is called exactly once, with the outcome. */
    fun add(heartbeat: Heartbeat, nowMs: Long, complete: (ForwardOutcome) -> Unit) {
        val replaced = waiting.put(heartbeat.machine, PendingHeartbeat(heartbeat, nowMs, complete))
        replaced?.complete?.invoke(ForwardOutcome.Unanswered)
    }

    /** Removes and returns the next batch for the leader of [leaderTerm]; empty if no heartbeat is waiting. */
    fun nextBatch(leaderTerm: Long, nowMs: Long): Batch {
        dropExpired(nowMs)
        evictAcknowledged(leaderTerm)
        val chosen = takeForBatch()
        val fullFirst = chosen.sortedBy { it.forwarded is ForwardedHeartbeat.Unchanged }
        return Batch(leaderTerm, fullFirst.map { it.forwarded }, fullFirst.map { it.entry })
    }

    private class BatchEntry(val forwarded: ForwardedHeartbeat, val entry: PendingHeartbeat)

    /** Removes the oldest waiting heartbeats: as many as fit into a batch, but at least one if any is waiting. */
    private fun takeForBatch(): List<BatchEntry> {
        val chosen = ArrayList<BatchEntry>()
        var bytes = 0
        for (entry in waiting.values) {
            val forwarded = toForwarded(entry.heartbeat)
            bytes += estimatedBytes(forwarded)
            val isFull = chosen.size == MAX_HEARTBEATS_PER_BATCH || bytes > MAX_BATCH_BYTES
            if (isFull && chosen.isNotEmpty()) break
            chosen += BatchEntry(forwarded, entry)
        }
        chosen.forEach { waiting.remove(it.entry.heartbeat.machine) }
        return chosen
    }

    private fun evictAcknowledged(leaderTerm: Long) {
        if (leaderTerm != term) {
            // The new leader hasn't received these heartbeats from this controller, and may not have received them from another one.
            acknowledged.clear()
            term = leaderTerm
        }
        if (acknowledged.size > MAX_ACKNOWLEDGED) acknowledged.clear()
    }

    /** Milliseconds until the oldest heartbeat of [batch] times out. */
    fun timeLeftMs(batch: Batch, nowMs: Long) = (batch.oldestArrivalMs ?: nowMs) + answerTimeoutMs - nowMs

    /**
     * Completes [batch] with the leader's [decisions], in the same order. The decisions are discarded if the known leader's
     * [currentTerm] is no longer the batch's term, since a newer leader may have decided differently.
     */
    fun completeWithDecisions(batch: Batch, decisions: List<HeartbeatDecision>, currentTerm: Long?, nowMs: Long) {
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
        // If a newer heartbeat of the machine has arrived meanwhile, this one has timed out at the worker.
        val newer = waiting.putIfAbsent(entry.heartbeat.machine, entry)
        if (newer != null) entry.complete(ForwardOutcome.Unanswered)
    }

    /** Completes [batch] as unanswered: there were no decisions, or they had to be discarded. */
    fun completeUnanswered(batch: Batch) {
        batch.entries.forEach { it.complete(ForwardOutcome.Unanswered) }
    }

    /** Completes all waiting heartbeats as unanswered, because no leader is known. */
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

    private fun toForwarded(heartbeat: Heartbeat): ForwardedHeartbeat {
        val base = acknowledged[heartbeat.machine]
        if (base == null || !isUnchanged(heartbeat, base)) return ForwardedHeartbeat.Full(heartbeat)
        return ForwardedHeartbeat.Unchanged(
            heartbeat.machine,
            heartbeat.incarnation,
            heartbeat.sequenceNumber,
            heartbeat.token,
            heartbeat.preemptionNoticeS,
            baseSequenceNumber = base.sequenceNumber,
        )
    }

    private fun isUnchanged(heartbeat: Heartbeat, base: Heartbeat) =
        heartbeat.copy(sequenceNumber = base.sequenceNumber, token = base.token, preemptionNoticeS = base.preemptionNoticeS) == base

    private fun estimatedBytes(forwarded: ForwardedHeartbeat): Int = when (forwarded) {
        is ForwardedHeartbeat.Unchanged -> UNCHANGED_HEARTBEAT_BYTES + forwarded.machine.text.length
        is ForwardedHeartbeat.Full -> estimatedBytes(forwarded.heartbeat)
    }

    companion object {
        /** Batches of large heartbeats are further limited by [MAX_BATCH_BYTES]. */
        const val MAX_HEARTBEATS_PER_BATCH = 400

        /**
         * Half the maximum body size of a worker's request, because the sizes of heartbeats are only estimated. A heartbeat
         * that exceeds this limit is the only one in its batch, and fits into a peer request.
         */
        private const val MAX_BATCH_BYTES = 32 * 1024

        /**
         * The map of acknowledged heartbeats is cleared when it exceeds this size, because entries of terminated machines aren't removed
         * during a term. Clearing it costs one full heartbeat per existing machine.
         */
        private const val MAX_ACKNOWLEDGED = 10_000

        /** The bytes that [heartbeat] takes in a message between controllers, rounded up. */
        fun estimatedBytes(heartbeat: Heartbeat): Int = heartbeat.run {
            val texts = machine.text.length + address.length + type.length + zone.length
            val tasksBytes = tasks.sumOf { TASK_BYTES + it.attempt.task.job.text.length }
            FULL_HEARTBEAT_BYTES + BYTES_PER_CHAR * texts + tasksBytes
        }

        private const val UNCHANGED_HEARTBEAT_BYTES = 48
        private const val FULL_HEARTBEAT_BYTES = 64
        private const val TASK_BYTES = 48
        private const val BYTES_PER_CHAR = 4
    }
}
