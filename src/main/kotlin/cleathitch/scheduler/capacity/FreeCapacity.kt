package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.PlacementClass
import kotlin.math.ceil
import kotlin.math.min

/** The resources of a pending or planned machine that no demand has been assigned to. */
internal class FreeCapacity(val offer: Offer, private val type: MachineType) {
    private var cpus = type.cpus
    private var gpus = type.gpus
    private var memoryGb = type.memoryGb

    /** The number of tasks of the class that fit at the same time. */
    fun fittingTasks(placementClass: PlacementClass): Int = placementClass.fittingTasks(cpus, gpus, memoryGb)

    /** Assigns up to [maxTasks] tasks of the demand, some of which may run one after another; returns how many were assigned. */
    fun assign(demand: MachineDemand, maxTasks: Int): Int {
        val consecutiveTasks = demand.consecutiveTasks(type)
        val placementClass = demand.placementClass
        val concurrentTasks = min(
            ceil(maxTasks / consecutiveTasks).toInt(),
            fittingTasks(placementClass),
        )
        cpus -= concurrentTasks * placementClass.cpus
        gpus -= concurrentTasks * placementClass.gpus
        memoryGb -= concurrentTasks * placementClass.memoryGb
        return min(maxTasks, (concurrentTasks * consecutiveTasks).toInt())
    }
}
