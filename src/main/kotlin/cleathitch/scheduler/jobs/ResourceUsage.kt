package cleathitch.scheduler.jobs

import cleathitch.scheduler.model.PlacementClass

/** The total resources held by a set of tasks. */
class ResourceUsage {
    var cpus = 0.0
        private set
    var gpus = 0.0
        private set
    var memoryGb = 0.0
        private set
    var tasks = 0
        private set

    /** Adds the resources of [count] tasks of the class. */
    fun add(placementClass: PlacementClass, count: Int = 1) = change(placementClass, count)

    /** Subtracts the resources of [count] tasks of the class. */
    fun remove(placementClass: PlacementClass, count: Int = 1) = change(placementClass, -count)

    private fun change(placementClass: PlacementClass, count: Int) {
        tasks += count
        if (tasks == 0) {
            // Reset exactly; floating-point rounding errors would otherwise accumulate over days.
            cpus = 0.0
            gpus = 0.0
            memoryGb = 0.0
        } else {
            cpus += count * placementClass.cpus
            gpus += count * placementClass.gpus
            memoryGb += count * placementClass.memoryGb
        }
    }
}
