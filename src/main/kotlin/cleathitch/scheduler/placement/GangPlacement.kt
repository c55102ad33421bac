package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job

/** Gang scheduling: machines for all waiting tasks of a job at once, or none. */
internal class GangPlacement(private val job: Job, private val allowedZones: AllowedZones) {
    private val placementClass = job.spec.placementClass

    /** A machine for each waiting task, with its room reserved; null unless all find one at once. */
    fun reserve(candidates: List<CandidateMachine>): List<CandidateMachine>? {
        val permitted = candidates.filter { it.zone in allowedZones && placementClass.permits(it.machine.offer) }
            .sortedBy { placementCost(placementClass, it) }
        val groups = if (job.spec.oneZone) permitted.groupBy { it.zone }.values else listOf(permitted)
        val chosen = groups.firstNotNullOfOrNull(::chooseFrom) ?: return null
        chosen.forEach { it.reserve(placementClass) }
        return chosen
    }

    /** Fills the machines in this order, with at most [cleathitch.scheduler.model.JobSpec.maxPerZone] tasks in a zone. */
    private fun chooseFrom(candidates: List<CandidateMachine>): List<CandidateMachine>? {
        val chosen = ArrayList<CandidateMachine>()
        val tasksByZone = HashMap<String, Int>()
        for (candidate in candidates) {
            repeat(candidate.fittingTasks(placementClass)) {
                val zoneHasRoom = (tasksByZone[candidate.zone] ?: 0) < job.spec.maxPerZone
                if (chosen.size < job.waitingTasks && zoneHasRoom) {
                    tasksByZone.merge(candidate.zone, 1, Int::plus)
                    chosen += candidate
                }
            }
        }
        return chosen.takeIf { it.size == job.waitingTasks }
    }
}
