package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId

/** The keys under which the log is stored in the key-value store, relative to the deployment's own prefix. Running clusters hold them. */
object LogKeys {
    /** The index and term of the last commit. */
    const val HEAD = "head"

    /** The snapshot of the machine inventory. */
    const val INVENTORY = "fleet"
    const val JOB_PREFIX = "j/"
    const val RECORD_PREFIX = "r/"
    const val FINISHED_JOBS_PREFIX = "f/"

    /** As many digits as the largest number has, so that keys sort as their numbers do. */
    private const val NUMBER_DIGITS = 19

    /** The key of the record at [index]. */
    fun record(index: LogIndex) = RECORD_PREFIX + padded(index.number)

    /** The key of a job's snapshot, whose parts are stored under it as `/0`, `/1` and so on. */
    fun job(id: JobId) = JOB_PREFIX + id.text

    /** The key of a chunk of final states. */
    fun finishedJobs(chunkNumber: Long) = FINISHED_JOBS_PREFIX + padded(chunkNumber)

    /** The key of the snapshot that [event] changes. */
    fun snapshotOf(event: Event): String = when (event) {
        is Event.JobEvent -> job(event.job)
        is Event.InventoryEvent -> INVENTORY
    }

    private fun padded(number: Long) = number.toString().padStart(NUMBER_DIGITS, '0')
}
