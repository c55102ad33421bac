package cleathitch.scheduler.log

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.model.JobId

/** The value that final states are being added to, as it stands in the state service. */
internal class FinishedJobsChunk(val number: Long, private val done: List<JobId>, private val cancelled: List<JobId>) {
    private val bytes = (done + cancelled).sumOf(::bytesOf)

    val cell get() = FinishedJobsSnapshot(done, cancelled)

    /** With [jobs] added; a chunk of more than [limitBytes] is left, and a new one begun. */
    fun plus(jobs: List<Job>, limitBytes: Double): FinishedJobsChunk {
        val base = if (bytes > limitBytes) FinishedJobsChunk(number + 1, emptyList(), emptyList()) else this
        val (newlyCancelled, newlyDone) = jobs.partition { it.isCancelled }
        return FinishedJobsChunk(base.number, base.done + newlyDone.map { it.id }, base.cancelled + newlyCancelled.map { it.id })
    }

    companion object {
        val FIRST = FinishedJobsChunk(0, emptyList(), emptyList())
        private const val ID_OVERHEAD = 4

        /** What a job's id takes in a chunk. */
        fun bytesOf(id: JobId) = id.text.length + ID_OVERHEAD
    }
}
