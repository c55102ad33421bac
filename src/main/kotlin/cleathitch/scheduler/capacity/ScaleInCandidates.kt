package cleathitch.scheduler.capacity

import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MS_PER_S
import kotlin.math.max

/**
 * Scale-in: selects idle machines that aren't economical to keep and machines that failed to boot. Time in which the leader couldn't
 * answer heartbeats doesn't count as idle time: after an outage in which all workers' leases expired, most machines have no tasks
 * until the tasks are restarted.
 */
class ScaleInCandidates(private val deployment: Deployment, private val inventory: Inventory, private val jobTable: JobTable) {
    /**
     * Machines that have been idle for so long that keeping them isn't economical; [answeringSinceMs] is the time since which
     * heartbeats could be answered without interruption.
     */
    fun idleMachines(nowMs: Long, answeringSinceMs: Long): List<Machine> = inventory.machines.values.filter { machine ->
        val type = machine.type
        type != null &&
            machine.state == MachineState.UP &&
            jobTable.attemptsOn(machine.id).isEmpty() &&
            nowMs - machine.rentedAtMs >= MIN_CHARGED_MS &&
            nowMs - max(machine.idleSinceMs, answeringSinceMs) >= type.bootS * MS_PER_S * MAX_IDLE_BOOTS
    }

    /**
     * Machines whose boot is long overdue. Excludes machines that the cloud provider lists as running, even if this leader hasn't
     * received a heartbeat from them yet, because the failure detector handles those.
     */
    fun overdueBootingMachines(nowMs: Long, answeringSinceMs: Long): List<Machine> = inventory.machines.values.filter { machine ->
        machine.state == MachineState.STARTING &&
            !machine.isListedRunning &&
            nowMs - max(machine.rentedAtMs, answeringSinceMs) >=
            (machine.type?.bootS ?: deployment.workerLeaseS) * MS_PER_S * MAX_BOOT_FACTOR
    }

    private companion object {
        /** The cloud provider charges at least one minute per machine, however early it is terminated. */
        const val MIN_CHARGED_MS = 60_000L

        /** Idle machines are kept for this many nominal boot times, which is less time than tasks would wait for a replacement to boot. */
        const val MAX_IDLE_BOOTS = 0.5

        /** A boot counts as failed after this many nominal boot times; nearly all boots take at most 1.5 nominal boot times. */
        const val MAX_BOOT_FACTOR = 2.5
    }
}
