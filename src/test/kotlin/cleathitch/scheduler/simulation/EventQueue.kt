package cleathitch.scheduler.simulation

import java.util.PriorityQueue

/** Event queue of the discrete-event simulation. Events run in order of virtual time; ties run in the order of scheduling. */
class EventQueue {
    private class ScheduledEvent(val atMs: Long, val sequenceNumber: Long, val action: () -> Unit)

    private val events = PriorityQueue<ScheduledEvent>(compareBy<ScheduledEvent>({ it.atMs }, { it.sequenceNumber }))
    private var nextSequenceNumber = 0L

    var nowMs = 0L
        private set

    /** Schedules [action] to run [delayMs] after the current virtual time. */
    fun schedule(delayMs: Long, action: () -> Unit) {
        events += ScheduledEvent(nowMs + delayMs, nextSequenceNumber++, action)
    }

    /** Runs the events of the next [durationMs] and calls [afterEach] after each. Stops early when [mayContinue] returns false. */
    fun run(durationMs: Long, mayContinue: () -> Boolean, afterEach: () -> Unit) {
        val endMs = nowMs + durationMs
        while (events.isNotEmpty() && events.peek().atMs <= endMs && mayContinue()) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
            afterEach()
        }
        nowMs = maxOf(nowMs, endMs)
    }
}
