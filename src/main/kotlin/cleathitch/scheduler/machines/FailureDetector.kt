package cleathitch.scheduler.machines

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.model.MachineId

/**
 * Suspects machines that are silent, that don't get our replies, or whose heartbeats don't arrive; probes the silent ones
 * directly, and terminates those that stay so. A majority of suspects at once is treated as a partition: those machines still
 * run their tasks, and are kept. Confined to the leader's event loop.
 */
internal class FailureDetector(
    private val context: SchedulerContext,
    private val inventory: Inventory,
    private val jobTable: JobTable,
    private val timings: SchedulerTimings,
    private val startedMs: Long,
    private val terminate: (MachineId, TerminationReason) -> Unit,
) {
    private val nowMs get() = context.now.steadyMs

    /** Probes listed machines that haven't shown themselves in this term, so that a failover doesn't wait for their heartbeats. */
    fun probeUnseen() {
        inventory.machines.values.asSequence()
            .filter { it.lastContactMs == null && it.isListedRunning && nowMs - it.lastProbeMs >= timings.probeGapMs }
            .take(MAX_PROBES).forEach(::probe)
    }

    /** Asks the machine directly for a heartbeat. */
    fun probe(machine: Machine) {
        machine.recordProbe(nowMs)
        machine.address?.let { context.emit(Effect.Probe(machine.id, it)) }
    }

    /**
     * Probes machines that skip a heartbeat, and terminates those that answer neither: the cloud's confirmation frees their
     * tasks long before their leases end. Partitioned machines are kept, as termination would end what still runs.
     */
    fun terminateSilent() {
        val up = inventory.machines.values.filter { it.state == MachineState.UP }
        terminateSuspects(up)
        terminateWithoutHeartbeats(up)
        terminateUnknown()
    }

    private fun terminateSuspects(up: List<Machine>) {
        val partition = PartitionDetector(up) { silentForMs(it) >= timings.probeMs }
        inventory.updatePartitionedZones(partition.partitionedZones)
        val silent = partition.suspects.filter { hasFailedProbes(it) && silentForMs(it) >= timings.silentMs }
        silent.forEach { if (!partition.isPartitioned(it)) terminate(it.id, TerminationReason.SILENT) }
        partition.suspects.filter { it.state == MachineState.UP && nowMs - it.lastProbeMs >= timings.probeGapMs }
            .take(MAX_PROBES).forEach(::probe)
    }

    private fun hasFailedProbes(machine: Machine) = machine.unansweredProbes >= PROBES_BEFORE_TERMINATION || machine.address == null

    /**
     * A machine that answers probes, but whose own heartbeats don't arrive, has lost its lease, and nothing can run there.
     * Many of these at once are treated as a partition, as silent machines are, and get twice the time.
     */
    private fun terminateWithoutHeartbeats(up: List<Machine>) {
        val partition = PartitionDetector(up) { withoutHeartbeatMs(it) >= timings.silentMs }
        for (machine in partition.suspects) {
            if (machine.state != MachineState.UP) continue
            val patienceMs = if (partition.isPartitioned(machine)) timings.leaseLossMs * 2 else timings.leaseLossMs
            if (withoutHeartbeatMs(machine) >= patienceMs) terminate(machine.id, TerminationReason.NO_HEARTBEATS)
        }
    }

    /** Machines that the job table names, and that neither reported nor were listed since the failover. */
    private fun terminateUnknown() {
        if (nowMs - startedMs < timings.leaseLossMs) return
        jobTable.machinesInUse.filter { it !in inventory.machines && it !in inventory.terminatingMachines }
            .forEach { terminate(it, TerminationReason.UNSEEN_SINCE_FAILOVER) }
    }

    /** Terminates machines that don't get our replies: their leases run out again and again, and with them their tasks. */
    fun terminateMissingReplies() {
        // Machines that missed a single reply count, too: those of one fault reach the limit one after the other, and the
        // few at a time would all be terminated.
        val suspects = inventory.machines.values.filter { it.state == MachineState.UP && it.missedReplies > 0 }
        // With many at once it is more likely our replies that are late.
        if (suspects.size > maxOf(FEW_MISSING_REPLIES, inventory.machines.size / MISSING_REPLIES_DIVISOR)) return
        suspects.filter { it.missesReplies }.forEach { terminate(it.id, TerminationReason.MISSES_REPLIES) }
    }

    /** For how long no heartbeat of the machine could be answered, whatever it answered to probes. */
    private fun withoutHeartbeatMs(machine: Machine) =
        nowMs - maxOf(machine.lastHeartbeatMs ?: machine.expectedSinceMs, context.listeningSinceMs)

    /**
     * Whether heartbeats and replies pass between the machine and us, as far as is known. Where they don't, the machine's
     * lease runs out though direct commands arrive, and what is started there ends with it.
     */
    fun isReachable(machine: Machine): Boolean = !machine.missesReplies && withoutHeartbeatMs(machine) < timings.silentMs

    /** For how long the machine has shown itself in no way. */
    fun silentForMs(machine: Machine): Long = nowMs - maxOf(machine.lastContactMs ?: machine.expectedSinceMs, context.listeningSinceMs)

    /**
     * Expects heartbeats of a machine that the cloud lists as running, though it hasn't reported in this term: at once if
     * tasks may run there, else when all machines have had time. This is checked not only when the machine is listed: one
     * that is taken back before its first heartbeat isn't listed again, and would count as booting forever.
     */
    fun expectIfRunning(machine: Machine) {
        if (machine.state != MachineState.STARTING || !machine.isListedRunning) return
        if (jobTable.attemptsOn(machine.id).isEmpty() && nowMs - startedMs < timings.leaseLossMs) return
        machine.expectHeartbeats(nowMs)
    }

    companion object {
        /** Probes and other direct calls sent at a time. */
        const val MAX_PROBES = 50

        /** Probes that a silent machine must leave unanswered before it is terminated. */
        private const val PROBES_BEFORE_TERMINATION = 2

        /** Above this part of the fleet, and above [FEW_MISSING_REPLIES], machines aren't blamed for missed replies. */
        private const val MISSING_REPLIES_DIVISOR = 10
        private const val FEW_MISSING_REPLIES = 2
    }
}
