package cleathitch.scheduler.simulation

import cleathitch.scheduler.log.Event
import cleathitch.scheduler.model.MachineId

/** Rents and terminates machines. A repeated rental request returns the machines of the first. */
class SimulatedCloud(private val cluster: SimulatedCluster, private val maxMachines: Int) {
    private val rentals = HashMap<String, List<MachineId>>()
    private val workers = LinkedHashMap<MachineId, SimulatedWorker>()
    private var machinesRented = 0

    /** The machines that exist, with the worker on each, in the order of their rental. */
    val machines: Map<MachineId, SimulatedWorker> get() = workers

    fun rent(rental: Event.RentalRequested): List<MachineId> = rentals.getOrPut(rental.request) {
        val count = minOf(rental.count, maxMachines - workers.size).coerceAtLeast(0)
        List(count) {
            val id = MachineId("vm-%06d".format(machinesRented++))
            val worker = SimulatedWorker(cluster, id, rental.offer)
            workers[id] = worker
            cluster.events.after(cluster.random.nextLong(1000, 5000)) { worker.start() }
            id
        }
    }

    /** The machine is gone, by a controller's request or by a fault, and all that ran on it. */
    fun terminate(id: MachineId) {
        workers.remove(id)
    }
}
