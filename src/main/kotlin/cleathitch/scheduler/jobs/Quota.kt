package cleathitch.scheduler.jobs

import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.RESOURCE_TOLERANCE
import cleathitch.scheduler.model.Team

/**
 * The teams' quotas: a guarantee, which determines scheduling precedence, and a limit, which is never exceeded. Usage includes all
 * attempts that may still be running, so the limit holds even while it is unknown whether a task has ended.
 */
class Quota(private val teams: Map<String, Team>, private val jobTable: JobTable) {
    /** Whether the team's limit allows one more task with the resources of [spec], beside its live attempts and what is [reserved]. */
    fun allows(spec: JobSpec, reserved: ResourceUsage? = null): Boolean = remainingTasks(spec, reserved) > 0

    /**
     * Whether the team's limit would allow the job if the team had no other jobs. A service needs room for all its tasks at once, a job
     * of another kind for one task.
     */
    fun isSatisfiable(spec: JobSpec): Boolean {
        val team = teams[spec.team] ?: return false
        val tasks = if (spec.kind == JobKind.SERVICE) spec.tasks else 1
        return isWithin(spec.cpus * tasks, team.maxCpus) && isWithin(spec.gpus * tasks, team.maxGpus)
    }

    /** Whether the team would stay within its guarantee with one more task with the resources of [spec]. */
    fun isWithinGuarantee(spec: JobSpec): Boolean {
        val team = teams[spec.team] ?: return false
        val usage = jobTable.usageOfTeam(spec.team)
        return isWithin((usage?.cpus ?: 0.0) + spec.cpus, team.cpus) &&
            isWithin((usage?.gpus ?: 0.0) + spec.gpus, team.gpus)
    }

    /** How many more tasks with the resources of [spec] the team's limit allows, beside its live attempts and what is [reserved]. */
    fun remainingTasks(spec: JobSpec, reserved: ResourceUsage? = null): Int {
        val team = teams[spec.team] ?: return 0
        val usage = jobTable.usageOfTeam(spec.team)
        return minOf(
            remainingTasks((usage?.cpus ?: 0.0) + (reserved?.cpus ?: 0.0), spec.cpus, team.maxCpus),
            remainingTasks((usage?.gpus ?: 0.0) + (reserved?.gpus ?: 0.0), spec.gpus, team.maxGpus),
        )
    }

    /** How many more tasks with the resources of [spec] fit into the team's guarantee, beside its live attempts and what is [reserved]. */
    fun remainingGuaranteedTasks(spec: JobSpec, reserved: ResourceUsage?): Int {
        val team = teams[spec.team] ?: return 0
        if (spec.cpus <= 0 && spec.gpus <= 0) return 0
        val usage = jobTable.usageOfTeam(spec.team)
        return minOf(
            remainingTasks((usage?.cpus ?: 0.0) + (reserved?.cpus ?: 0.0), spec.cpus, team.cpus),
            remainingTasks((usage?.gpus ?: 0.0) + (reserved?.gpus ?: 0.0), spec.gpus, team.gpus),
        )
    }

    private fun remainingTasks(used: Double, perTask: Double, limit: Double?): Int {
        if (limit == null || perTask <= 0) return Int.MAX_VALUE
        return ((limit - used + RESOURCE_TOLERANCE) / perTask).toInt().coerceAtLeast(0)
    }

    private fun isWithin(usage: Double, limit: Double?) = limit == null || usage <= limit + RESOURCE_TOLERANCE
}
