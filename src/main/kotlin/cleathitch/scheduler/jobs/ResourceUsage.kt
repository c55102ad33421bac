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

    /** Adds the resources of one task of the class. */
    fun add(placementClass: PlacementClass) = change(placementClass, 1)

    /** Subtracts the resources of one task of the class. */
    fun remove(placementClass: PlacementClass) = change(placementClass, -1)

    private fun change(placementClass: PlacementClass, sign: Int) {
        tasks += sign
        if (tasks == 0) {
            // Reset exactly; floating-point rounding errors would otherwise accumulate over days.
            cpus = 0.0
            gpus = 0.0
            memoryGb = 0.0
        } else {
            cpus += sign * placementClass.cpus
            gpus += sign * placementClass.gpus
            memoryGb += sign * placementClass.memoryGb
        }
    }
}
