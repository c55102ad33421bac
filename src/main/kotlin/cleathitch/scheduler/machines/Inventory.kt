package cleathitch.scheduler.machines

import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.InventorySnapshot
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MS_PER_S
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer

/**
 * Which machines there are: those rented, the rentals and terminations that the cloud hasn't confirmed, and the machine types
 * on offer. Rentals and terminations are a function of the recorded events; the machines themselves are learned anew in each
 * term, from heartbeats and the cloud's list. Confined to the leader's event loop.
 */
class Inventory(private val deployment: Deployment) {
    private val machinesById = LinkedHashMap<MachineId, Machine>()
    private val rentalsByRequest = LinkedHashMap<String, Event.RentalRequested>()
    private val terminating = LinkedHashSet<MachineId>()
    private val refusedUntilMs = HashMap<Offer, Long>()

    /** The machines that this leader knows of, in the order in which it learned of them. */
    val machines: Map<MachineId, Machine> get() = machinesById

    /** Rentals that are recorded and not answered yet, by the name of their request. */
    val pendingRentals: Map<String, Event.RentalRequested> get() = rentalsByRequest

    /** Machines whose termination is recorded and not confirmed by the cloud yet. */
    val terminatingMachines: Set<MachineId> get() = terminating

    /** The machine types on offer, by name; empty until the cloud has listed them in this term. */
    var types: Map<String, MachineType> = emptyMap()
        private set

    /** All zones in which there are machines to rent. */
    var zones: Set<String> = emptySet()
        private set

    /** Zones that seem cut off: nothing is rented there. */
    var partitionedZones: Set<String> = emptySet()
        private set

    /** Prices change, and machines whose heartbeats came before the first list get their type only now. */
    fun updateTypes(listedTypes: List<MachineType>) {
        types = listedTypes.associateBy { it.name }
        zones = types.values.flatMapTo(LinkedHashSet()) { it.zones }
        machinesById.values.forEach { machine -> types[machine.offer.type]?.let { machine.type = it } }
    }

    /** The failure detector's finding about the zones as they are now. */
    fun updatePartitionedZones(partitioned: Set<String>) {
        partitionedZones = partitioned
    }

    /** Applies an event that is recorded, or queued to be recorded. */
    fun apply(event: Event.InventoryEvent) {
        when (event) {
            is Event.RentalRequested -> rentalsByRequest[event.request] = event
            is Event.RentalResolved -> rentalsByRequest.remove(event.request)
            is Event.MachineTerminationRequested -> {
                terminating += event.machine
                machinesById[event.machine]?.recordTerminationRequest()
            }
            is Event.MachineTerminated -> {
                terminating -= event.machine
                machinesById.remove(event.machine)
            }
        }
    }

    /** The part of the inventory that the log keeps, after the record [upTo]. */
    fun snapshot(upTo: LogIndex) = InventorySnapshot(upTo, rentalsByRequest.values.toList(), terminating.toList())

    /** Takes over what the log's snapshot holds; called once, before the events after it are applied. */
    fun restore(snapshot: InventorySnapshot) {
        snapshot.pendingRentals.forEach { rentalsByRequest[it.request] = it }
        terminating += snapshot.terminatingMachines
    }

    /** The machine of this id; one that isn't known yet is added as starting, or as retired if its termination is recorded. */
    fun register(id: MachineId, offer: Offer, rentedAtMs: Long): Machine = machinesById.getOrPut(id) {
        Machine(id, offer, types[offer.type], rentedAtMs).also { if (id in terminating) it.recordTerminationRequest() }
    }

    /** The cloud had less than was asked for of [offer]: it isn't asked for again for some heartbeat periods. */
    fun recordRefusal(offer: Offer, nowMs: Long) {
        refusedUntilMs[offer] = nowMs + (deployment.reportS * REFUSAL_BACKOFF_PERIODS * MS_PER_S).toLong()
    }

    /** Whether the cloud refused [offer] so recently that it isn't worth asking for. */
    fun isRefused(offer: Offer, nowMs: Long): Boolean = nowMs < (refusedUntilMs[offer] ?: 0)

    private companion object {
        /** After a refusal the same offer is asked for again after as many heartbeat periods; asked more often it uses up calls. */
        const val REFUSAL_BACKOFF_PERIODS = 3.0
    }
}
