package cleathitch.scheduler.jobs

import cleathitch.scheduler.model.JobSpec

/** The resources that a number of live attempts hold together. */
class ResourceUsage {
    var cpus = 0.0
        private set
    var gpus = 0.0
        private set
    var memoryGb = 0.0
        private set
    var tasks = 0
        private set

    /** A task like this has been started. */
    fun add(spec: JobSpec) = change(spec, 1)

    /** A task like this is over. */
    fun remove(spec: JobSpec) = change(spec, -1)

    private fun change(spec: JobSpec, sign: Int) {
        tasks += sign
        if (tasks == 0) {
            // Rounding errors would otherwise add up over days.
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
