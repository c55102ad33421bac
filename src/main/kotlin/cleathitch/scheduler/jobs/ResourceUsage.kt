package cleathitch.scheduler.jobs

import cleathitch.scheduler.model.JobSpec

/** The total resources held by a set of live attempts. */
class ResourceUsage {
    var cpus = 0.0
        private set
    var gpus = 0.0
        private set
    var memoryGb = 0.0
        private set
    var tasks = 0
        private set

    /** Adds the resources of one task of [spec]. */
    fun add(spec: JobSpec) = change(spec, 1)

    /** Subtracts the resources of one task of [spec]. */
    fun remove(spec: JobSpec) = change(spec, -1)

    private fun change(spec: JobSpec, sign: Int) {
        tasks += sign
        if (tasks == 0) {
            // Reset exactly; floating-point rounding errors would otherwise accumulate over days.
            cpus = 0.0
            gpus = 0.0
            memoryGb = 0.0
        } else {
            cpus += sign * spec.cpus
            gpus += sign * spec.gpus
            memoryGb += sign * spec.memoryGb
        }
    }
}
