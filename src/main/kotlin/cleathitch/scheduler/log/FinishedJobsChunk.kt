package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId

/** A chunk of final states of archived jobs, stored as one value in the key-value store. Chunks are numbered from 0. */
internal class FinishedJobsChunk(val number: Long, val snapshot: FinishedJobsSnapshot) {
    private val bytes = (snapshot.completed + snapshot.cancelled).sumOf(::sizeOf)

    /** Returns this chunk with [jobs] added or, if this chunk exceeds [maxBytes], a new chunk that contains only [jobs]. */
    fun plus(jobs: List<CompactedJob.Finished>, maxBytes: Double): FinishedJobsChunk {
        val base = if (bytes > maxBytes) FinishedJobsChunk(number + 1, EMPTY) else this
        val (newlyCancelled, newlyCompleted) = jobs.partition { it.finalState == FinalState.CANCELLED }
        val snapshot = FinishedJobsSnapshot(
            completed = base.snapshot.completed + newlyCompleted.map { it.id },
            cancelled = base.snapshot.cancelled + newlyCancelled.map { it.id },
        )
        return FinishedJobsChunk(base.number, snapshot)
    }

    companion object {
        private val EMPTY = FinishedJobsSnapshot(emptyList(), emptyList())
        val FIRST = FinishedJobsChunk(0, EMPTY)

        /** The encoding overhead of a job id, in bytes. */
        private const val ID_OVERHEAD_BYTES = 4

        /** The number of bytes that the final state of job [id] takes in a chunk. */
        fun sizeOf(id: JobId) = id.text.length + ID_OVERHEAD_BYTES
    }
}
