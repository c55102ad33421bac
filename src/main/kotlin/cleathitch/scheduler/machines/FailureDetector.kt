package cleathitch.scheduler.machines

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.model.MachineId

/**
 * The failure detector for machines: which of them are silent, hear nothing, or can't report, and which of those are
 * to be returned. It asks machines directly before it gives them up.
 */
internal class FailureDetector(
    private val context: SchedulerContext,
    private val fleet: Inventory,
    private val jobTable: JobTable,
    private val timings: SchedulerTimings,
    private val startedMs: Long,
    private val retire: (MachineId, String) -> Unit,
) {
    /** After a take-over machines come by themselves only with their next reports; those that the cloud lists are asked. */
    fun probeUnheard() {
        fleet.machines.values.asSequence()
            .filter { it.lastHeardMs == null && it.listedRunning && context.now.steadyMs - it.probedMs >= timings.probeGapMs }
            .take(MAX_QUESTIONS).forEach(::probe)
    }

    /** Asks a machine directly for its report. */
    fun probe(machine: Machine) {
        machine.probes++
        machine.probedMs = context.now.steadyMs
        machine.address?.let { context.emit(Effect.Probe(machine.id, it)) }
    }

    /**
     * A machine that skips a report is asked directly; one that doesn't answer that either is returned,
     * since the cloud's word that it is gone frees its tasks long before its lease ends. But where most
     * are quiet the way to them is cut, and they work on: returning them would end what still runs.
     */
    fun findSilent() {
        val up = fleet.machines.values.filter { it.state == MachineState.UP }
        val suspicion = PartitionDetector(up) { silentForMs(it) >= timings.probeMs }
        fleet.updatePartitionedZones(suspicion.partitionedZones)
        val silent = suspicion.quiet.filter { it.probes >= QUESTIONS_BEFORE_LOSS || it.address == null }.filter {
            silentForMs(it) >=
                timings.silentMs
        }
        silent.forEach { if (!suspicion.excuses(it)) retire(it.id, "it is silent") }
        suspicion.quiet.filter { it.state == MachineState.UP && context.now.steadyMs - it.probedMs >= timings.probeGapMs }
            .take(MAX_QUESTIONS).forEach(::probe)
        // It answers, but its own reports reach nobody: its lease has run out, and nothing can run there. Most of them
        // at once are no more to blame than machines that say nothing: a fleet that answered was once returned whole.
        val mute = PartitionDetector(up) { withoutHeartbeatMs(it) >= timings.silentMs }
        for (machine in mute.quiet) {
            if (machine.state != MachineState.UP) continue
            val patienceMs = if (mute.excuses(machine)) timings.lostMs * 2 else timings.lostMs
            if (withoutHeartbeatMs(machine) >= patienceMs) retire(machine.id, "its reports don't arrive")
        }
        if (context.now.steadyMs - startedMs >= timings.lostMs) {
            jobTable.machinesInUse.filter { it !in fleet.machines && it !in fleet.terminatingMachines }
                .forEach { retire(it, "it hasn't reported since the take-over") }
        }
    }

    /** Machines whose reports arrive while our answers don't: their leases run out again and again. */
    fun findMachinesMissingReplies() {
        val missing = fleet.machines.values.filter { it.state == MachineState.UP && it.missedReplies > 0 }
        // Many at once: more likely our answers come too late, and they aren't to blame. Those that missed one
        // are counted: they call themselves deaf one after the other, and a few at a time all went back.
        if (missing.size > maxOf(FEW_DEAF, fleet.machines.size / DEAF_SHARE)) return
        missing.filter { it.missesReplies }.forEach { retire(it.id, "no answer reaches it") }
    }

    /** For how long no report of the machine could be answered, whatever it said to direct questions. */
    private fun withoutHeartbeatMs(machine: Machine) =
        context.now.steadyMs - maxOf(machine.lastReportMs ?: machine.missedSinceMs, context.listeningSinceMs)

    /**
     * Whether reports and answers pass between the machine and us, as far as is known. Where they don't, leases run out
     * though direct orders arrive, and what is started there dies with the next.
     */
    fun isReachable(machine: Machine) = !machine.missesReplies && withoutHeartbeatMs(machine) < timings.silentMs

    /** For how long nothing at all was heard of the machine. */
    fun silentForMs(machine: Machine) = context.now.steadyMs - maxOf(machine.lastHeardMs ?: machine.missedSinceMs, context.listeningSinceMs)

    /**
     * A machine that runs by the cloud's word is missed like any other, though it never reported in this term: at
     * once if tasks may run there, else when all have had time. This is looked at not only when it is listed: one that
     * is taken before its first report isn't listed again, and would count as on its way for ever.
     */
    fun suspectIfRunning(machine: Machine) {
        if (machine.state != MachineState.STARTING || !machine.listedRunning) return
        if (jobTable.attemptsOn(machine.id).isEmpty() && context.now.steadyMs - startedMs < timings.lostMs) return
        machine.missedSinceMs = context.now.steadyMs
        machine.state = MachineState.UP
    }

    companion object {
        /** So many machines are asked directly at a time. */
        const val MAX_QUESTIONS = 50

        /** Direct questions to a silent machine before it is given up. */
        private const val QUESTIONS_BEFORE_LOSS = 2

        /** Up to one machine in so many may be called deaf. */
        private const val DEAF_SHARE = 10
        private const val FEW_DEAF = 2
    }
}
