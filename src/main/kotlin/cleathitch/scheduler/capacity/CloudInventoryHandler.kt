package cleathitch.scheduler.capacity

import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.machines.FailureDetector
import cleathitch.scheduler.machines.HeartbeatReconciler
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.MachineRegistry
import cleathitch.scheduler.machines.MachineState
import cleathitch.scheduler.machines.TerminationReason
import cleathitch.scheduler.model.ListedMachine
import cleathitch.scheduler.model.ListedState
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType

/** Applies the cloud provider's machine types, machine list and terminations to the inventory. Confined to the leader's event loop. */
internal class CloudInventoryHandler(
    private val context: SchedulerContext,
    private val inventory: Inventory,
    private val registry: MachineRegistry,
    private val reconciler: HeartbeatReconciler,
    private val failureDetector: FailureDetector,
    private val cloudRequests: CloudRequests,
) {
    /** Whether the cloud provider's machine list has been received in this term. */
    var areMachinesListed = false
        private set

    /** Handles a list of the machine types and their prices. */
    fun onMachineTypesListed(types: List<MachineType>) {
        inventory.updateTypes(types)
    }

    /** Handles a list of the rented machines. */
    fun onMachinesListed(machines: List<ListedMachine>) {
        machines.forEach(::recordListed)
        areMachinesListed = true
    }

    /** Handles the cloud provider's confirmation that these machines are terminated, so that nothing runs on them any more. */
    fun onMachinesTerminated(machines: List<MachineId>) {
        for (id in machines) if (id in inventory.terminatingMachines) recordTerminated(id)
    }

    private fun recordListed(listed: ListedMachine) {
        if (registry.isTerminated(listed.machine)) return
        val machine = inventory.machines[listed.machine] ?: register(listed)
        machine.recordListing(isRunning = listed.state == ListedState.RUNNING, listed.address)
        failureDetector.expectIfRunning(machine)
        if (listed.state == ListedState.FAILED && machine.state != MachineState.TERMINATING && context.isFleetObserved()) {
            cloudRequests.requestTermination(machine.id, TerminationReason.FAILED)
        }
    }

    private fun register(listed: ListedMachine) =
        registry.register(listed.machine, listed.offer, context.now.monotonicMs - (listed.ageS * 1000).toLong())

    private fun recordTerminated(id: MachineId) {
        reconciler.recordTerminationOfAll(id)
        context.append(Event.MachineTerminated(id))
        cloudRequests.recordTermination(id)
        registry.recordTerminated(id)
    }
}
