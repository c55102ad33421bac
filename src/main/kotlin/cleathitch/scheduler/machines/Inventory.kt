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
 * The rented machines, the rentals and terminations that the cloud provider hasn't confirmed, and the machine types on offer.
 * Rentals and terminations are a function of the recorded events; the machines themselves are learned anew in each term, from
 * heartbeats and the cloud provider's list. Confined to the leader's event loop.
 */
class Inventory(private val deployment: Deployment) {
    private val machinesById = LinkedHashMap<MachineId, Machine>()
    private val rentalsByRequest = LinkedHashMap<String, Event.RentalRequested>()
    private val terminating = LinkedHashSet<MachineId>()
    private val refusedUntilMs = HashMap<Offer, Long>()

    /** The machines known to this leader, in the order in which they were registered. */
    val machines: Map<MachineId, Machine> get() = machinesById

    /** Rentals that are recorded but not yet answered by the cloud provider, by request name. */
    val pendingRentals: Map<String, Event.RentalRequested> get() = rentalsByRequest

    /** Machines whose termination is recorded but not yet confirmed by the cloud provider. */
    val terminatingMachines: Set<MachineId> get() = terminating

    /** The machine types on offer, by name; empty until the cloud provider has listed them in this term. */
    var types: Map<String, MachineType> = emptyMap()
        private set

    /** All zones in which machines are on offer. */
    var zones: Set<String> = emptySet()
        private set

    /** Zones that appear to be behind a network partition; no machines are rented in them. */
    var partitionedZones: Set<String> = emptySet()
        private set

    /**
     * Replaces the machine types, because prices change, and updates the types of the registered machines. A machine that was
     * registered before the first list gets its type here.
     */
    fun updateTypes(listedTypes: List<MachineType>) {
        types = listedTypes.associateBy { it.name }
        zones = types.values.flatMapTo(LinkedHashSet()) { it.zones }
        machinesById.values.forEach { machine -> types[machine.offer.type]?.let { machine.type = it } }
    }

    /** Replaces the zones that the failure detector considers partitioned. */
    fun updatePartitionedZones(partitioned: Set<String>) {
        partitionedZones = partitioned
    }

    /** Applies an event that has been written to the log or is queued to be written. */
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

    /** A snapshot of the part of the inventory that is kept in the log, as of record [upTo]. */
    fun snapshot(upTo: LogIndex) = InventorySnapshot(upTo, rentalsByRequest.values.toList(), terminating.toList())

    /** Restores the state from the log's snapshot; called once, before the events after the snapshot are applied. */
    fun restore(snapshot: InventorySnapshot) {
        snapshot.pendingRentals.forEach { rentalsByRequest[it.request] = it }
        terminating += snapshot.terminatingMachines
    }

    /** Returns the machine with this id. An unknown one is added as starting, or as terminating if its termination is recorded. */
    fun register(id: MachineId, offer: Offer, rentedAtMs: Long): Machine = machinesById.getOrPut(id) {
        Machine(id, offer, types[offer.type], rentedAtMs).also { if (id in terminating) it.recordTerminationRequest() }
    }

    /** Records that the cloud provider rented out fewer machines of [offer] than requested; suspends requests for it for some time. */
    fun recordRefusal(offer: Offer, nowMs: Long) {
        refusedUntilMs[offer] = nowMs + (deployment.heartbeatPeriodS * REFUSAL_BACKOFF_PERIODS * MS_PER_S).toLong()
    }

    /** Whether [offer] was refused so recently that it must not be requested again yet. */
    fun isRefused(offer: Offer, nowMs: Long): Boolean = nowMs < (refusedUntilMs[offer] ?: 0)

    private companion object {
        /** Number of heartbeat periods after which a refused offer is requested again; earlier requests would use up the rate limit. */
        const val REFUSAL_BACKOFF_PERIODS = 3.0
    }
}
