package cleathitch.leader

import cleathitch.scheduler.model.ClockReading
import java.util.concurrent.TimeUnit

/** The clocks of this node. */
class Clocks {
    fun steadyMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
    fun clockReading() = ClockReading(steadyMs(), System.currentTimeMillis())
}
