package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.model.MS_PER_S
import cleathitch.scheduler.model.Priority

/**
 * The order in which waiting jobs are served: by priority, then jobs within their team's guarantee, then by the time of their
 * submission, put off a little for size and for objectives that can't be met any more.
 *
 * What puts a job off is bounded, so no stream of other jobs starves it: with plain shortest-first the largest arrays wait
 * for as long as smaller ones come.
 */
class SchedulingOrder(
    /** For each job class the seconds within which its jobs are to be finished. */
    private val completionObjectives: Map<String, List<Double>>,
    private val quota: Quota,
    private val nowWallMs: Long,
) {
    /** A job with the keys by which it is ordered; the smaller is served first. */
    private class QueuedJob(val job: Job, val priority: Priority, val exceedsGuarantee: Boolean, val virtualSubmissionMs: Long)

    /** The [waiting] jobs in the order in which they are served. */
    fun order(waiting: List<Job>): List<Job> {
        val largestByClass = HashMap<String, Int>()
        waiting.forEach { largestByClass.merge(it.spec.className, it.waitingTasks, ::maxOf) }
        return waiting.map { queued(it, largestByClass.getValue(it.spec.className)) }
            .sortedWith(compareBy<QueuedJob>({ it.priority }, { it.exceedsGuarantee }, { it.virtualSubmissionMs }))
            .map { it.job }
    }

    private fun queued(job: Job, largestOfClass: Int) =
        QueuedJob(job, job.spec.priority, !quota.isWithinGuarantee(job.spec), virtualSubmissionMs(job, largestOfClass))

    /** The wall time by which the job is ordered: later than its submission by parts of its class's first objective. */
    private fun virtualSubmissionMs(job: Job, largestOfClass: Int): Long {
        val objectivesS = completionObjectives[job.spec.className].orEmpty()
        val firstObjectiveS = objectivesS.minOrNull() ?: return job.acceptedAtWallMs
        val ageS = (nowWallMs - job.acceptedAtWallMs) / MS_PER_S
        val missedObjectives = objectivesS.count { ageS + job.spec.estimatedRunS > it }
        val delay = missedObjectives + SIZE_WEIGHT * job.waitingTasks / largestOfClass
        return job.acceptedAtWallMs + (firstObjectiveS * MS_PER_S * delay).toLong()
    }

    companion object {
        /** The largest job of its class is put off by this part of the class's first objective. */
        private const val SIZE_WEIGHT = 0.5

        /** A job has to begin within four minutes; half of that leaves time for a boot and the fetch of the image. */
        private const val OVERDUE_AFTER_MS = 120_000L

        /** Whether nothing of the job was started for so long that its first task goes before the order. */
        fun isOverdue(job: Job, nowWallMs: Long) = job.lastAttemptNumber == 0L && nowWallMs - job.acceptedAtWallMs >= OVERDUE_AFTER_MS
    }
}
