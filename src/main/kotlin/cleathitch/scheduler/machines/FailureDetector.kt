package cleathitch.scheduler.machines

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.model.MachineId

/**
 * Suspects machines that are silent, that don't receive the leader's replies, or whose heartbeats don't arrive although they
 * answer probes. Silent machines are probed directly and terminated if they remain silent. If a majority of a zone or of the
 * fleet is suspected at the same time, a network partition is assumed: the machines still run their tasks and are kept. Confined
 * to the leader's event loop.
 */
internal class FailureDetector(
    private val context: SchedulerContext,
    private val inventory: Inventory,
    private val jobTable: JobTable,
    private val timings: SchedulerTimings,
    private val startedMs: Long,
    private val terminate: (MachineId, TerminationReason) -> Unit,
) {
    private val nowMs get() = context.now.monotonicMs

    /**
     * Probes machines that the cloud provider lists as running but that haven't been in contact in this term, so that a new leader
     * doesn't have to wait for their heartbeats.
     */
    fun probeUncontacted() {
        inventory.machines.values.asSequence()
            .filter { it.lastContactMs == null && it.isListedRunning && nowMs - it.lastProbeMs >= timings.minProbeIntervalMs }
            .take(MAX_DIRECT_CALLS).forEach(::probe)
    }

    /** Requests a heartbeat from the machine by a direct call. */
    fun probe(machine: Machine) {
        machine.recordProbe(nowMs)
        machine.address?.let { context.emit(Effect.Probe(machine.id, it)) }
    }

    /**
     * Probes machines that miss a heartbeat, and terminates those that don't answer the probes either. Their tasks can restart as
     * soon as the cloud provider confirms the termination, which is long before the leases expire. Machines behind a network
     * partition are kept, because termination would kill tasks that still run. Also terminates machines whose heartbeats don't
     * arrive although they answer probes, and machines unseen since the failover.
     */
    fun terminateUnresponsive() {
        val up = inventory.machines.values.filter { it.state == MachineState.UP }
        terminateSuspects(up)
        terminateWithoutHeartbeats(up)
        terminateUnseenSinceFailover()
    }

    private fun terminateSuspects(up: List<Machine>) {
        val partition = PartitionDetector(up) { timeSinceContactMs(it) >= timings.probeAfterMs }
        inventory.updatePartitionedZones(partition.partitionedZones)
        val silent = partition.suspects.filter { hasFailedProbes(it) && timeSinceContactMs(it) >= timings.silentAfterMs }
        silent.forEach { if (!partition.isPartitioned(it)) terminate(it.id, TerminationReason.SILENT) }
        partition.suspects.filter { it.state == MachineState.UP && nowMs - it.lastProbeMs >= timings.minProbeIntervalMs }
            .take(MAX_DIRECT_CALLS).forEach(::probe)
    }

    private fun hasFailedProbes(machine: Machine) = machine.unansweredProbes >= PROBES_BEFORE_TERMINATION || machine.address == null

    /**
     * Terminates machines that answer probes but whose own heartbeats don't arrive: they have lost their leases, so no task can
     * run on them. If a majority of a zone or of the fleet is affected at the same time, a network partition is assumed, and the
     * timeout is doubled.
     */
    private fun terminateWithoutHeartbeats(up: List<Machine>) {
        val partition = PartitionDetector(up) { timeSinceHeartbeatMs(it) >= timings.silentAfterMs }
        for (machine in partition.suspects) {
            if (machine.state != MachineState.UP) continue
            val timeoutMs = if (partition.isPartitioned(machine)) timings.leaseLostAfterMs * 2 else timings.leaseLostAfterMs
            if (timeSinceHeartbeatMs(machine) >= timeoutMs) terminate(machine.id, TerminationReason.NO_HEARTBEATS)
        }
    }

    /** Terminates machines with attempts in the job table that have neither reported nor been listed since the failover. */
    private fun terminateUnseenSinceFailover() {
        if (nowMs - startedMs < timings.leaseLostAfterMs) return
        jobTable.machinesInUse.filter { it !in inventory.machines && it !in inventory.terminatingMachines }
            .forEach { terminate(it, TerminationReason.UNSEEN_SINCE_FAILOVER) }
    }

    /** Terminates machines that don't receive the leader's replies: their leases expire repeatedly, which kills their tasks. */
    fun terminateMissingReplies() {
        // Includes machines that have missed only a single reply. Machines affected by the same fault reach the limit one after
        // another, so a count of the machines at the limit would stay small, and each of them would be terminated.
        val suspects = inventory.machines.values.filter { it.state == MachineState.UP && it.missedReplies > 0 }
        // If many machines miss replies at the same time, late replies of the leader are a likelier cause than faulty machines.
        if (suspects.size > maxOf(MIN_INDEPENDENT_REPLY_LOSSES, inventory.machines.size / INDEPENDENT_REPLY_LOSS_DIVISOR)) return
        suspects.filter { it.missesReplies }.forEach { terminate(it.id, TerminationReason.MISSES_REPLIES) }
    }

    /**
     * Time since the machine's last heartbeat that could be answered; probe responses don't count. Time in which no heartbeat was
     * expected, or in which the leader couldn't answer any, doesn't count either.
     */
    private fun timeSinceHeartbeatMs(machine: Machine) =
        nowMs - maxOf(machine.lastHeartbeatMs ?: machine.expectedSinceMs, context.answeringSinceMs)

    /**
     * Whether heartbeats and replies pass between the machine and the leader, as far as is known. If they don't, the worker's lease
     * expires, and the worker kills its tasks, even those that it was told to start by a direct call.
     */
    fun isReachable(machine: Machine): Boolean = !machine.missesReplies && timeSinceHeartbeatMs(machine) < timings.silentAfterMs

    /**
     * Time since the machine's last heartbeat or probe response. Time in which no heartbeat was expected, or in which the leader
     * couldn't answer any, doesn't count.
     */
    fun timeSinceContactMs(machine: Machine): Long =
        nowMs - maxOf(machine.lastContactMs ?: machine.expectedSinceMs, context.answeringSinceMs)

    /**
     * Starts to expect heartbeats from a machine that the cloud provider has listed as running but that hasn't reported in this term.
     * If tasks may run on the machine, this happens immediately, otherwise once all machines have had time to report.
     *
     * Must be called periodically for every machine, whether or not the newest list contains it. A machine that is reclaimed before
     * its first heartbeat isn't listed again and would otherwise count as booting forever.
     */
    fun expectIfRunning(machine: Machine) {
        if (machine.state != MachineState.STARTING || !machine.isListedRunning) return
        if (jobTable.attemptsOn(machine.id).isEmpty() && nowMs - startedMs < timings.leaseLostAfterMs) return
        machine.expectHeartbeats(nowMs)
    }

    companion object {
        /** Limit on the direct calls (probes or commands) sent at a time. */
        const val MAX_DIRECT_CALLS = 50

        /** Number of unanswered probes after which a silent machine may be terminated. */
        private const val PROBES_BEFORE_TERMINATION = 2

        /**
         * Machines that miss replies are terminated only while there are few of them: at most [MIN_INDEPENDENT_REPLY_LOSSES] or the
         * fleet size divided by [INDEPENDENT_REPLY_LOSS_DIVISOR], whichever is greater. If there are more, the fault is attributed to
         * the leader's replies.
         */
        private const val INDEPENDENT_REPLY_LOSS_DIVISOR = 10
        private const val MIN_INDEPENDENT_REPLY_LOSSES = 2
    }
}
