package cleathitch.leader

import cleathitch.scheduler.model.ClockReading
import java.util.concurrent.TimeUnit

/**
 * The clocks of this process. Leases, timeouts and periods use the monotonic clock, which never jumps. The wall clock is used
 * only for the times in stored records and for comparisons with them, because these times have to be comparable across processes.
 */
class Clocks {
    /** The monotonic clock in milliseconds; its readings are comparable only within this process. */
    fun monotonicMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    /** A reading of the monotonic clock and the wall clock, taken together. */
    fun clockReading() = ClockReading(monotonicMs(), System.currentTimeMillis())
}
