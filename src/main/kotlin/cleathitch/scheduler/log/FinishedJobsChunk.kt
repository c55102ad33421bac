package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId

/** The value to which the final states of archived jobs are added, as it is in the key-value store. Chunks are numbered from 0. */
internal class FinishedJobsChunk(val number: Long, val snapshot: FinishedJobsSnapshot) {
    private val bytes = (snapshot.completed + snapshot.cancelled).sumOf(::sizeOf)

    /** The chunk with [jobs] added; if this one has over [maxBytes], a new one with these jobs alone. */
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

        /** Bytes that an id takes beside its text. */
        private const val ID_OVERHEAD_BYTES = 4

        /** The bytes that the final state of the job [id] takes in a chunk. */
        fun sizeOf(id: JobId) = id.text.length + ID_OVERHEAD_BYTES
    }
}
