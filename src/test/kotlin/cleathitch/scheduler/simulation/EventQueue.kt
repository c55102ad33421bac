package cleathitch.scheduler.simulation

import cleathitch.scheduler.log.Event
import java.util.PriorityQueue

/** Virtual time: events run in the order of their times, and events of the same time in the order in which they were scheduled. */
class EventQueue {
    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy<Event>({ it.atMs }, { it.order }))
    private var scheduledEvents = 0L

    var nowMs = 0L
        private set

    /** Runs [action] once [delayMs] have passed. */
    fun after(delayMs: Long, action: () -> Unit) {
        events += Event(nowMs + delayMs, scheduledEvents++, action)
    }

    /** Runs the events of the next [durationMs], each followed by [afterEach], for as long as [mayContinue]. */
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
