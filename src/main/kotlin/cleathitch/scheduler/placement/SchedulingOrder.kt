package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.model.MS_PER_S
import cleathitch.scheduler.model.Priority

/**
 * The order in which waiting jobs are scheduled. Jobs of higher priority come first. Within a priority, jobs that are within their
 * team's guaranteed quota come before the others. Within each of these groups, jobs are sorted by their submission time plus a
 * delay, which depends on the job's size and on the number of completion objectives that it can no longer meet.
 *
 * The delay is bounded, so a stream of other jobs can't starve a job. Plain shortest-job-first would starve the largest arrays
 * for as long as smaller ones arrive.
 */
class SchedulingOrder(
    /** The completion objectives of each job class, in seconds after submission. */
    private val completionObjectives: Map<String, List<Double>>,
    private val quota: Quota,
    private val nowWallMs: Long,
) {
    /** A job with its sort keys; smaller keys are scheduled first. */
    private class QueuedJob(val job: Job, val priority: Priority, val exceedsGuarantee: Boolean, val virtualSubmissionMs: Long)

    /** Sorts the [waiting] jobs into scheduling order. */
    fun order(waiting: List<Job>): List<Job> {
        val largestByClass = HashMap<String, Int>()
        waiting.forEach { largestByClass.merge(it.spec.className, it.waitingTasks, ::maxOf) }
        return waiting.map { withSortKeys(it, largestByClass.getValue(it.spec.className)) }
            .sortedWith(compareBy<QueuedJob>({ it.priority }, { it.exceedsGuarantee }, { it.virtualSubmissionMs }))
            .map { it.job }
    }

    private fun withSortKeys(job: Job, largestInClass: Int) =
        QueuedJob(job, job.spec.priority, !quota.isWithinGuarantee(job.spec), virtualSubmissionMs(job, largestInClass))

    /**
     * The wall-clock time by which the job is sorted: its submission time plus a delay that is a multiple of the class's shortest
     * completion objective.
     */
    private fun virtualSubmissionMs(job: Job, largestInClass: Int): Long {
        val objectivesS = completionObjectives[job.spec.className].orEmpty()
        val shortestObjectiveS = objectivesS.minOrNull() ?: return job.acceptedAtWallMs
        val ageS = (nowWallMs - job.acceptedAtWallMs) / MS_PER_S
        val missedObjectives = objectivesS.count { ageS + job.spec.estimatedRunS > it }
        val delayFactor = missedObjectives + SIZE_WEIGHT * job.waitingTasks / largestInClass
        return job.acceptedAtWallMs + (shortestObjectiveS * MS_PER_S * delayFactor).toLong()
    }

    companion object {
        /** The delay of the largest waiting job of a class, as a fraction of the class's shortest completion objective. */
        private const val SIZE_WEIGHT = 0.5

        /** A job has to start within four minutes. Two of these are reserved for booting a machine and fetching the image. */
        private const val OVERDUE_AFTER_MS = 120_000L

        /** Whether the job has waited so long without any attempt that its first task is scheduled before all other jobs. */
        fun isOverdue(job: Job, nowWallMs: Long) = job.lastAttemptNumber == 0L && nowWallMs - job.acceptedAtWallMs >= OVERDUE_AFTER_MS
    }
}
