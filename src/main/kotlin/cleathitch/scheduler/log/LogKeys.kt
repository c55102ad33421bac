package cleathitch.scheduler.log

import cleathitch.scheduler.model.JobId

/**
 * The keys of the log in the key-value store, relative to the deployment's key prefix. Existing clusters have data stored under them,
 * so they must not change.
 */
object LogKeys {
    /** The index and term of the last commit. */
    const val HEAD = "head"

    /** The snapshot of the machine inventory. */
    const val INVENTORY = "fleet"
    const val JOB_PREFIX = "j/"
    const val RECORD_PREFIX = "r/"
    const val FINISHED_JOBS_PREFIX = "f/"

    /** The number of digits of the largest Long; numbers are zero-padded to it, so that keys sort in numeric order. */
    private const val NUMBER_DIGITS = 19

    /** The key of the record at [index]. */
    fun record(index: LogIndex) = RECORD_PREFIX + padded(index.number)

    /** The key of a job's snapshot; its parts are stored under this key followed by `/0`, `/1` and so on. */
    fun job(id: JobId) = JOB_PREFIX + id.text

    /** The keys of the first [count] parts of a job's snapshot. */
    fun jobParts(id: JobId, count: Int) = List(count) { part -> "${job(id)}/$part" }

    /** The key of a chunk of final states. */
    fun finishedJobs(chunkNumber: Long) = FINISHED_JOBS_PREFIX + padded(chunkNumber)

    /** The key of the snapshot that [event] changes. */
    fun snapshotOf(event: Event): String = when (event) {
        is Event.JobEvent -> job(event.job)
        is Event.InventoryEvent -> INVENTORY
    }

    private fun padded(number: Long) = number.toString().padStart(NUMBER_DIGITS, '0')
}
