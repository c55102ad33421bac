package cleathitch.leader

import cleathitch.scheduler.model.ClockReading
import java.util.concurrent.TimeUnit

/**
 * The clocks of this process. Leases, timeouts and periods use the monotonic clock, which never jumps. The wall clock is used
 * only to set the times in stored records and to compare with them: other processes read the records too, and monotonic readings of
 * different processes are not comparable.
 */
class Clocks {
    /** The monotonic clock in milliseconds; its readings are comparable only within this process. */
    fun monotonicMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    /** A reading of the monotonic clock and the wall clock, taken together. */
    fun clockReading() = ClockReading(monotonicMs(), System.currentTimeMillis())
}
