package cleathitch.leader

import cleathitch.scheduler.model.ClockReading
import java.util.concurrent.TimeUnit

/**
 * The clocks of this process. Leases, timeouts and periods go by the steady clock, which never jumps; the time of day
 * only enters stored records, where it has to mean something to other processes.
 */
class Clocks {
    /** Milliseconds of the steady clock; comparable within this process alone. */
    fun steadyMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    /** Both clocks, read together. */
    fun clockReading() = ClockReading(steadyMs(), System.currentTimeMillis())
}
