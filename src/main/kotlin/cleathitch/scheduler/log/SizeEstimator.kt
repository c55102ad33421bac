package cleathitch.scheduler.log

/** Estimates stored sizes, erring on the large side. Implemented outside the log, which doesn't know the stored encoding. */
interface SizeEstimator {
    /** The bytes that [event] takes within its record. */
    fun sizeOf(event: Event): Int

    /** The bytes of all parts of [snapshot] together. */
    fun sizeOf(snapshot: JobSnapshot): Int
}
