package cleathitch.scheduler.log

/**
 * Adds the final states of jobs to the newest chunk, or to a new one if [newest] is more than half full. One commit writes one chunk,
 * which must not be larger than [maxValueBytes].
 */
internal class FinishedJobsWriter(
    private val newest: FinishedJobsChunk,
    private val space: TransactionSpace,
    private val sizes: StoredSizes,
    private val maxValueBytes: Int,
) {
    private val jobs = ArrayList<CompactedJob.Finished>()
    private val base by lazy { if (valueBytes(newest) > maxValueBytes / 2) newest.next() else newest }
    private val baseBytes by lazy { encodedBytes(base) }
    private var addedBytes = 0

    /** The jobs that were added. */
    val added: List<CompactedJob.Finished> get() = jobs

    /** The newest chunk, with the jobs that were added. */
    val chunk: FinishedJobsChunk get() = if (jobs.isEmpty()) newest else base.plus(jobs)

    /** The change that writes the chunk; null if no job was added. */
    fun change(): Mutation? =
        if (jobs.isEmpty()) null else Mutation.Put(LogKeys.finishedJobs(base.number), StoredValue.FinishedJobs(chunk.snapshot))

    /** Adds [job], whose archiving also takes [deletions]; returns false if the chunk or the transaction has no room for it. */
    fun add(job: CompactedJob.Finished, deletions: ChangeSize): Boolean {
        val bytes = sizes.encodedBytes(job.id)
        if (sizes.valueBytes(baseBytes + addedBytes + bytes) > maxValueBytes) return false
        if (!space.add(growth(bytes) + deletions)) return false
        addedBytes += bytes
        jobs += job
        return true
    }

    private fun growth(bytes: Int): ChangeSize {
        val grown = putSize(baseBytes + addedBytes + bytes)
        return if (jobs.isEmpty()) grown else ChangeSize(grown.bytes - putSize(baseBytes + addedBytes).bytes, operations = 0)
    }

    private fun putSize(bytes: Int) = sizes.putSize(LogKeys.finishedJobs(base.number), bytes)

    private fun valueBytes(chunk: FinishedJobsChunk) = sizes.valueBytes(encodedBytes(chunk))

    private fun encodedBytes(chunk: FinishedJobsChunk) = sizes.encodedBytes(StoredValue.FinishedJobs(chunk.snapshot))
}
