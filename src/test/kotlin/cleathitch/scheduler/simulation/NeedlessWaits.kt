package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.TaskId

/** Finds jobs that wait for long although a machine that fits has room and their team is below its limit. */
class NeedlessWaits(private val cluster: SimulatedCluster) {
    private val workers get() = cluster.cloud.machines.values
    private var lookedAtMs = 0L
    private val waitsSinceMs = HashMap<JobId, Long>()

    /** The jobs that have waited for [MAX_WAIT_MS]; looks once in [LOOK_EVERY_MS]. */
    fun findNew(): List<JobId> {
        val nowMs = cluster.events.nowMs
        if (nowMs - lookedAtMs < LOOK_EVERY_MS) return emptyList()
        lookedAtMs = nowMs
        return cluster.users.submitted.values.filter { job ->
            val id = job.spec.id
            if (waitsNeedlessly(job)) waitsSinceMs.putIfAbsent(id, nowMs) else waitsSinceMs.remove(id)
            nowMs - (waitsSinceMs[id] ?: nowMs) >= MAX_WAIT_MS
        }.map { it.spec.id }
    }

    private fun waitsNeedlessly(job: SubmittedJob) = hasWaitingTask(job) && hasRoom(job.spec) && isBelowLimit(job.spec)

    private fun hasWaitingTask(job: SubmittedJob): Boolean {
        if (job.isCancellationRequested || job.isReportedDone || !job.isAccepted) return false
        return (0 until job.spec.tasks).map { TaskId(job.spec.id, it) }
            .any { task -> !cluster.users.isCompleted(task) && workers.none { it.isAssigned(task) } }
    }

    private fun hasRoom(spec: JobSpec): Boolean {
        val machinesByZone = workers.filter { it.knows(spec.id) }.groupingBy { it.zone }.eachCount()
        return workers.any { worker ->
            worker.isReachable &&
                worker.cpusUsed + spec.cpus <= cluster.machineType.cpus &&
                (spec.spotAllowed || !worker.spot) &&
                (spec.zone == null || worker.zone == spec.zone) &&
                (!spec.oneZone || machinesByZone.keys.all { it == worker.zone }) &&
                (machinesByZone[worker.zone] ?: 0) < spec.maxPerZone
        }
    }

    private fun isBelowLimit(spec: JobSpec): Boolean {
        val maxCpus = cluster.deployment.teams.getValue(spec.team).maxCpus ?: return true
        val jobsOfTeam = cluster.users.submitted.values.filter { it.spec.team == spec.team }
        return workers.sumOf { worker -> jobsOfTeam.sumOf { worker.cpusUsedBy(it.spec.id) } } + spec.cpus <= maxCpus
    }

    private companion object {
        const val LOOK_EVERY_MS = 1000L
        const val MAX_WAIT_MS = 90_000L
    }
}
