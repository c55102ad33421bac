package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.ResourceUsage
import cleathitch.scheduler.model.RESOURCE_TOLERANCE
import cleathitch.scheduler.model.Team

/**
 * What the teams use beyond their guarantees in one scheduling round. Tasks that are stopping don't count as used, so that together
 * no more tasks are stopped than a team has beyond its guarantee.
 */
class BorrowedCapacity(private val teams: Map<String, Team>, private val jobTable: JobTable) {
    private val stoppingByTeam by lazy(LazyThreadSafetyMode.NONE, ::findStopping)

    private fun findStopping(): HashMap<String, ResourceUsage> {
        val usageByTeam = HashMap<String, ResourceUsage>()
        for (job in jobTable.jobs) {
            for (attempt in job.liveAttempts.values) {
                if (attempt.stopCause != null) usageByTeam.getOrPut(job.spec.team) { ResourceUsage() }.add(job.spec.placementClass)
            }
        }
        return usageByTeam
    }

    /** Whether a team other than [team] uses more than its guarantee. */
    fun isAnyBorrowedBesides(team: String): Boolean = teams.values.any { other ->
        val usage = jobTable.usageOfTeam(other.name)
        val stopping = stoppingByTeam[other.name]
        other.name != team &&
            usage != null &&
            (
                usage.cpus - (stopping?.cpus ?: 0.0) > other.cpus + RESOURCE_TOLERANCE ||
                    usage.gpus - (stopping?.gpus ?: 0.0) > other.gpus + RESOURCE_TOLERANCE
                )
    }

    /** Records that [victims] are to be stopped. */
    fun recordStops(victims: List<Attempt>) = victims.forEach { victim ->
        stoppingByTeam.getOrPut(victim.job.spec.team) { ResourceUsage() }.add(victim.job.spec.placementClass)
    }

    /** Takes back [recordStops]. */
    fun withdrawStops(victims: List<Attempt>) =
        victims.forEach { stoppingByTeam.getValue(it.job.spec.team).remove(it.job.spec.placementClass) }

    /** Whether the team of [victim] still has its whole guarantee if [victim] is stopped in addition to [others]. */
    fun includes(victim: Attempt, others: List<Attempt>): Boolean {
        val spec = victim.job.spec
        val team = teams[spec.team]
        if (team == null || (team.cpus == 0.0 && team.gpus == 0.0)) return true
        val usage = jobTable.usageOfTeam(spec.team) ?: return false
        val stopping = stoppingByTeam[spec.team]
        val sameTeam = others.filter { it.job.spec.team == spec.team }
        val cpusLeft = usage.cpus - (stopping?.cpus ?: 0.0) - sameTeam.sumOf { it.job.spec.cpus } - spec.cpus
        val gpusLeft = usage.gpus - (stopping?.gpus ?: 0.0) - sameTeam.sumOf { it.job.spec.gpus } - spec.gpus
        val borrowsCpus = spec.cpus > 0 && cpusLeft >= team.cpus - RESOURCE_TOLERANCE
        val borrowsGpus = spec.gpus > 0 && gpusLeft >= team.gpus - RESOURCE_TOLERANCE
        // A task is borrowed only if that holds for each resource that it uses.
        return (borrowsCpus || spec.cpus <= 0) && (borrowsGpus || spec.gpus <= 0) && (borrowsCpus || borrowsGpus)
    }
}
