package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.ResourceUsage
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId

/**
 * The room that is being made for jobs, by job. It is kept in memory only: a new leader sees which tasks are stopping and nominates
 * machines anew. Confined to the leader's event loop.
 */
class Nominations {
    private val byJob = LinkedHashMap<JobId, ArrayList<Nomination>>()
    private val usageByTeam = HashMap<String, ResourceUsage>()
    private val excludedUntilMs = HashMap<MachineId, Long>()

    /** All nominations, in the order in which the jobs got their first one. */
    val all: List<Nomination> get() = byJob.values.flatten()

    /** The machines nominated for the job. */
    fun of(job: Job): List<Nomination> = byJob[job.id]?.toList().orEmpty()

    /** The number of the job's tasks for which room is being made. */
    fun taskCount(job: Job): Int = byJob[job.id]?.sumOf { it.tasks } ?: 0

    /** The resources of the team's tasks for which room is being made, null if there are none. */
    fun usageOfTeam(team: String): ResourceUsage? = usageByTeam[team]?.takeIf { it.tasks > 0 }

    /** Adds a nomination. */
    fun add(nomination: Nomination) {
        val usage = usageByTeam.getOrPut(nomination.job.spec.team) { ResourceUsage() }
        usage.add(nomination.job.spec.placementClass, nomination.tasks)
        byJob.getOrPut(nomination.job.id) { ArrayList() } += nomination
    }

    /** Records that one of the nomination's tasks was started on its machine; the nomination ends with the last one. */
    fun recordStart(nomination: Nomination) {
        nomination.tasks--
        usageByTeam[nomination.job.spec.team]?.remove(nomination.job.spec.placementClass)
        if (nomination.tasks == 0) remove(nomination)
    }

    /** Ends the nominations for which [reason] isn't null, and calls [onDropped] for each. */
    fun drop(nowMs: Long, reason: (Nomination) -> NominationEnd?, onDropped: (Nomination, NominationEnd) -> Unit) {
        excludedUntilMs.values.removeIf { it <= nowMs }
        for (nomination in all) {
            val end = reason(nomination) ?: continue
            remove(nomination)
            // Otherwise the same tasks that don't end would be counted on again at once.
            if (end == NominationEnd.EXPIRED) excludedUntilMs[nomination.machine.id] = nowMs + nomination.durationMs
            onDropped(nomination, end)
        }
    }

    /** Whether room that was being made on the machine wasn't free in time, so that none is to be made there for a while. */
    fun isExcluded(machine: Machine): Boolean = machine.id in excludedUntilMs

    private fun remove(nomination: Nomination) {
        usageByTeam[nomination.job.spec.team]?.remove(nomination.job.spec.placementClass, nomination.tasks)
        val nominations = byJob[nomination.job.id] ?: return
        nominations.remove(nomination)
        if (nominations.isEmpty()) byJob.remove(nomination.job.id)
    }
}
