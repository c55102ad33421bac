package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.TaskId

/** Detects jobs that wait although a suitable machine has room for them and their team is below its quota. */
class UnnecessaryWaitDetector(private val cluster: SimulatedCluster) {
    private val workers get() = cluster.cloud.machines.values
    private var lastCheckMs = 0L
    private val waitingSinceMs = HashMap<JobId, Long>()

    /** Returns the jobs that have waited unnecessarily for at least [MAX_WAIT_MS]. Checks at most once per [CHECK_INTERVAL_MS]. */
    fun detect(): List<JobId> {
        val nowMs = cluster.events.nowMs
        if (nowMs - lastCheckMs < CHECK_INTERVAL_MS) return emptyList()
        lastCheckMs = nowMs
        return cluster.users.submitted.values.filter { job ->
            val id = job.spec.id
            if (waitsUnnecessarily(job)) waitingSinceMs.putIfAbsent(id, nowMs) else waitingSinceMs.remove(id)
            nowMs - (waitingSinceMs[id] ?: nowMs) >= MAX_WAIT_MS
        }.map { it.spec.id }
    }

    private fun waitsUnnecessarily(job: SubmittedJob) = hasWaitingTask(job) && hasRoom(job.spec) && isBelowQuota(job.spec)

    private fun hasWaitingTask(job: SubmittedJob): Boolean {
        if (job.isCancellationRequested || job.isReportedDone || !job.isAccepted) return false
        return (0 until job.spec.tasks).map { TaskId(job.spec.id, it) }
            .any { task -> !cluster.users.isCompleted(task) && workers.none { it.isAssigned(task) } }
    }

    private fun hasRoom(spec: JobSpec): Boolean {
        val machinesByZone = workers.filter { it.hasTasksOf(spec.id) }.groupingBy { it.zone }.eachCount()
        return workers.any { worker ->
            worker.isReachable &&
                worker.cpusUsed + spec.cpus <= cluster.machineType.cpus &&
                (spec.spotAllowed || !worker.spot) &&
                (spec.zone == null || worker.zone == spec.zone) &&
                (!spec.oneZone || machinesByZone.keys.all { it == worker.zone }) &&
                (machinesByZone[worker.zone] ?: 0) < spec.maxPerZone
        }
    }

    private fun isBelowQuota(spec: JobSpec): Boolean {
        val maxCpus = cluster.deployment.teams.getValue(spec.team).maxCpus ?: return true
        val jobsOfTeam = cluster.users.submitted.values.filter { it.spec.team == spec.team }
        return workers.sumOf { worker -> jobsOfTeam.sumOf { worker.cpusUsedBy(it.spec.id) } } + spec.cpus <= maxCpus
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 1000L
        const val MAX_WAIT_MS = 90_000L
    }
}
