package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.model.Priority

/**
 * The order in which waiting jobs are served: by priority, guarantees first, then by the time of their
 * submission, put off a little for size and for aims that are lost.
 *
 * What puts a job off is bounded, so no stream of others keeps it from its turn: shortest-first
 * once left the largest arrays waiting for as long as smaller ones came.
 */
class SchedulingOrder(private val completionObjectives: Map<String, List<Double>>, private val quota: Quota, private val nowWallMs: Long) {
    private class Place(val job: Job, val priority: Priority, val borrowing: Boolean, val virtualStartMs: Long)

    fun order(waiting: List<Job>): List<Job> {
        val largest = HashMap<String, Int>()
        waiting.forEach { largest.merge(it.spec.className, it.waiting, ::maxOf) }
        return waiting.map { job ->
            Place(job, job.spec.priority, !quota.insideGuarantee(job.spec), virtualStartMs(job, largest.getValue(job.spec.className)))
        }.sortedWith(compareBy<Place>({ it.priority }, { it.borrowing }, { it.virtualStartMs })).map { it.job }
    }

    private fun virtualStartMs(job: Job, largest: Int): Long {
        val completionObjectives = completionObjectives[job.spec.className].orEmpty()
        val first = completionObjectives.minOrNull() ?: return job.wallMs
        val ageS = (nowWallMs - job.wallMs) / 1000.0
        val lost = completionObjectives.count { ageS + job.spec.estimateS > it }
        return job.wallMs + (first * 1000 * (lost + SIZE_WEIGHT * job.waiting / largest)).toLong()
    }

    companion object {
        /** The largest job of its class is put off by this part of the class's first aim. */
        private const val SIZE_WEIGHT = 0.5

        /** A job must begin within four minutes, says the page; half of that leaves time for boot and fetch. */
        private const val BEGIN_MS = 120_000L

        fun overdue(job: Job, nowWallMs: Long) = job.lastNumber == 0L && nowWallMs - job.wallMs >= BEGIN_MS
    }
}
