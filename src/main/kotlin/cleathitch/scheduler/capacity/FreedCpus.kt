package cleathitch.scheduler.capacity

import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.model.JobKind

/** Forecasts how fast running tasks free resources when they complete. */
internal object FreedCpus {
    /** The rate at which running array tasks free CPUs, in CPUs per second, from their estimated run times. */
    fun perS(jobTable: JobTable): Double = jobTable.jobs
        .filter { it.spec.kind == JobKind.ARRAY && it.spec.estimatedRunS > 0 }
        .sumOf { it.liveAttempts.size * it.spec.cpus / it.spec.estimatedRunS }
}
