package cleathitch.scheduler.simulation

import cleathitch.scheduler.log.Event
import cleathitch.scheduler.model.MachineId

/** Simulated cloud provider that rents out and terminates machines. Rental requests are idempotent: a retry returns the same machines. */
class SimulatedCloud(private val cluster: SimulatedCluster, private val maxMachines: Int) {
    private val rentals = HashMap<String, List<MachineId>>()
    private val workers = LinkedHashMap<MachineId, SimulatedWorker>()
    private var machinesRented = 0

    /** The existing machines and their workers, in the order in which they were rented. */
    val machines: Map<MachineId, SimulatedWorker> get() = workers

    fun rent(rental: Event.RentalRequested): List<MachineId> = rentals.getOrPut(rental.request) {
        val count = minOf(rental.count, maxMachines - workers.size).coerceAtLeast(0)
        List(count) {
            val id = MachineId("vm-%06d".format(machinesRented++))
            val worker = SimulatedWorker(cluster, id, rental.offer)
            workers[id] = worker
            cluster.events.schedule(cluster.random.nextLong(1000, 5000)) { worker.heartbeatPeriodically() }
            id
        }
    }

    /** Removes the machine and everything that runs on it, on request of a controller or as an injected fault. */
    fun terminate(id: MachineId) {
        workers.remove(id)
    }
}
