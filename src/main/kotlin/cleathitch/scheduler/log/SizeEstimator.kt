package cleathitch.scheduler.log

/** Estimates, generously, how many bytes something takes in the key-value store; knows the stored form, which the log doesn't. */
interface SizeEstimator {
    /** Bytes of [event] within its record. */
    fun sizeOf(event: Event): Int

    /** Bytes of [snapshot], all its parts together. */
    fun sizeOf(snapshot: JobSnapshot): Int
}
