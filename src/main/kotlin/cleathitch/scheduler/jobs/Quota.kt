package cleathitch.scheduler.jobs

import cleathitch.scheduler.model.RESOURCE_TOLERANCE
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.Team

/** A team's limit, counted over everything that may still be running. */
class Quota(private val teams: Map<String, Team>, private val jobTable: JobTable) {
    fun allows(spec: JobSpec): Boolean {
        val team = teams[spec.team] ?: return false
        val load = jobTable.loadOfTeam(spec.team)
        return within((load?.cpus ?: 0.0) + spec.cpus, team.maxCpus) &&
            within((load?.gpus ?: 0.0) + spec.gpus, team.maxGpus)
    }

    /** Whether the job could ever run: an array needs room for a task, a service for all. */
    fun everAllows(spec: JobSpec): Boolean {
        val team = teams[spec.team] ?: return false
        val count = if (spec.kind == JobKind.SERVICE) spec.tasks else 1
        return within(spec.cpus * count, team.maxCpus) && within(spec.gpus * count, team.maxGpus)
    }

    /** Whether one more task stays inside what the team is guaranteed. */
    fun insideGuarantee(spec: JobSpec): Boolean {
        val team = teams[spec.team] ?: return false
        val load = jobTable.loadOfTeam(spec.team)
        return (load?.cpus ?: 0.0) + spec.cpus <= team.cpus + RESOURCE_TOLERANCE &&
            (load?.gpus ?: 0.0) + spec.gpus <= team.gpus + RESOURCE_TOLERANCE
    }

    /** How many more tasks like this the team's limit allows now. */
    fun roomFor(spec: JobSpec): Int {
        val team = teams[spec.team] ?: return 0
        val load = jobTable.loadOfTeam(spec.team)
        fun room(use: Double, each: Double, limit: Double?) =
            if (limit == null || each <= 0) Int.MAX_VALUE else ((limit - use + RESOURCE_TOLERANCE) / each).toInt().coerceAtLeast(0)
        return minOf(room(load?.cpus ?: 0.0, spec.cpus, team.maxCpus), room(load?.gpus ?: 0.0, spec.gpus, team.maxGpus))
    }

    private fun within(use: Double, limit: Double?) = limit == null || use <= limit + RESOURCE_TOLERANCE
}
