package cleathitch.scheduler.capacity

import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MS_PER_S
import kotlin.math.max

/**
 * Scale-in: the machines that serve nobody and aren't worth their price. Time in which the leader couldn't take heartbeats
 * counts against no machine: after an outage that ended all leases most of a fleet looks idle just before its tasks start again.
 */
class ScaleInCandidates(private val deployment: Deployment, private val inventory: Inventory, private val jobTable: JobTable) {
    /** Machines that are idle for longer than it pays to keep them; heartbeats are taken without a break since [listeningSinceMs]. */
    fun idle(nowMs: Long, listeningSinceMs: Long): List<Machine> = inventory.machines.values.filter { machine ->
        val type = machine.type
        type != null &&
            machine.state == MachineState.UP &&
            jobTable.attemptsOn(machine.id).isEmpty() &&
            nowMs - machine.rentedAtMs >= MIN_CHARGED_MS &&
            nowMs - max(machine.idleSinceMs, listeningSinceMs) >= type.bootS * MS_PER_S * MAX_IDLE_BOOTS
    }

    /**
     * Machines that should have booted long ago. One that the cloud lists as running isn't among them, even if this leader
     * has no heartbeat of it yet: the failure detector decides about that one.
     */
    fun overdueBoots(nowMs: Long, listeningSinceMs: Long): List<Machine> = inventory.machines.values.filter { machine ->
        machine.state == MachineState.STARTING &&
            !machine.isListedRunning &&
            nowMs - max(machine.rentedAtMs, listeningSinceMs) >=
            (machine.type?.bootS ?: deployment.leaseS) * MS_PER_S * MAX_BOOT_FACTOR
    }

    private companion object {
        /** A machine costs a minute at least, however early it is terminated. */
        const val MIN_CHARGED_MS = 60_000L

        /** Idle machines are kept for as many boot times: part of what a new one would make its tasks wait. */
        const val MAX_IDLE_BOOTS = 0.5

        /** Boots take up to 1.5 times their nominal time, except those of a few: given up on after so many. */
        const val MAX_BOOT_FACTOR = 2.5
    }
}
