package cleathitch.scheduler.api

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.ClockReading

/** What the parts of the engine share during one term. */
internal interface SchedulerContext {
    val now: ClockReading

    /** Since when machines' reports are listened to without a break. */
    val listeningSinceMs: Long
    fun leaseHeld(): Boolean

    /** The state service leaves a commit without an answer for long. */
    fun stalled(): Boolean

    /** Applies the event in memory and notes it for the next record, whose sequence number is returned. */
    fun append(event: Event): LogIndex

    /** The stops of these attempts go out as soon as the record is committed. */
    fun stopAfter(seq: LogIndex, attempts: Collection<Attempt>)
    fun emit(effect: Effect)

    /** Whether notes of this level are written at all. */
    fun isLogged(level: LogLevel): Boolean
}

internal inline fun SchedulerContext.logEvent(level: LogLevel, text: () -> String) {
    if (isLogged(level)) emit(Effect.Log(level, text()))
}
