package cleathitch.scheduler.jobs

import cleathitch.scheduler.model.JobSpec

class ResourceUsage {
    var cpus = 0.0
    var gpus = 0.0
    var memoryGb = 0.0
    var tasks = 0

    fun add(spec: JobSpec, sign: Int) {
        tasks += sign
        if (tasks == 0) {
            // rounding must not pile up over days
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
