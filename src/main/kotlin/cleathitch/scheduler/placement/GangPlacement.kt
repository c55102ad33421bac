package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job

/** Gang scheduling: places all waiting tasks of a job at once, or none of them. */
internal class GangPlacement(private val job: Job, private val allowance: ZoneAllowance) {
    private val placementClass = job.spec.placementClass

    /** Chooses a machine for each waiting task and reserves its resources; null if not all tasks can be placed. */
    fun reserve(candidates: List<CandidateMachine>): List<CandidateMachine>? {
        val eligible = candidates.filter { it.zone in allowance && placementClass.permits(it.machine.offer) }
            .sortedBy { placementCost(placementClass, it) }
        val groups = if (job.spec.oneZone) eligible.groupBy { it.zone }.values else listOf(eligible)
        val chosen = groups.firstNotNullOfOrNull(::selectMachines) ?: return null
        chosen.forEach { it.reserve(placementClass) }
        return chosen
    }

    /** Fills the machines in the given order, with at most [cleathitch.scheduler.model.JobSpec.maxPerZone] tasks per zone. */
    private fun selectMachines(candidates: List<CandidateMachine>): List<CandidateMachine>? {
        val chosen = ArrayList<CandidateMachine>()
        val tasksByZone = HashMap<String, Int>()
        for (candidate in candidates) {
            repeat(candidate.fittingTasks(placementClass)) {
                val belowZoneLimit = (tasksByZone[candidate.zone] ?: 0) < job.spec.maxPerZone
                if (chosen.size < job.waitingTasks && belowZoneLimit) {
                    tasksByZone.merge(candidate.zone, 1, Int::plus)
                    chosen += candidate
                }
            }
        }
        return chosen.takeIf { it.size == job.waitingTasks }
    }
}
