package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import kotlin.math.ceil
import kotlin.math.min

/** What is left of a machine that is on its way or planned, after the demands already assigned to it. */
internal class FreeCapacity(val offer: Offer, private val type: MachineType) {
    private var cpus = type.cpus
    private var gpus = type.gpus
    private var memoryGb = type.memoryGb

    /** Assigns up to [maxTasks] tasks of the demand, which may run here one after the other; returns how many it took. */
    fun assign(demand: MachineDemand, maxTasks: Int): Int {
        val consecutiveTasks = demand.consecutiveTasks(type)
        val placementClass = demand.placementClass
        val sideBySide = min(
            ceil(maxTasks / consecutiveTasks).toInt(),
            placementClass.fittingTasks(cpus, gpus, memoryGb),
        )
        cpus -= sideBySide * placementClass.cpus
        gpus -= sideBySide * placementClass.gpus
        memoryGb -= sideBySide * placementClass.memoryGb
        return min(maxTasks, (sideBySide * consecutiveTasks).toInt())
    }
}
