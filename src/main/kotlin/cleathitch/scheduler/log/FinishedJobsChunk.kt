package cleathitch.scheduler.log

/** A chunk of final states of archived jobs, stored as one value in the key-value store. Chunks are numbered from 0. */
internal class FinishedJobsChunk(val number: Long, val snapshot: FinishedJobsSnapshot) {
    /** This chunk with [jobs] added. */
    fun plus(jobs: List<CompactedJob.Finished>): FinishedJobsChunk {
        val (newlyCancelled, newlyCompleted) = jobs.partition { it.finalState == FinalState.CANCELLED }
        val extended = FinishedJobsSnapshot(
            completed = snapshot.completed + newlyCompleted.map { it.id },
            cancelled = snapshot.cancelled + newlyCancelled.map { it.id },
        )
        return FinishedJobsChunk(number, extended)
    }

    /** The empty chunk that follows this one. */
    fun next() = FinishedJobsChunk(number + 1, EMPTY)

    companion object {
        private val EMPTY = FinishedJobsSnapshot(emptyList(), emptyList())
        val FIRST = FinishedJobsChunk(0, EMPTY)
    }
}
