package cleathitch.scheduler.api

import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.ClockReading

/** The view of the term that the scheduler's parts share. Confined to the leader's event loop. */
internal interface SchedulerContext {
    /** The time of the batch that is being handled. */
    val now: ClockReading

    /** Since when heartbeats are taken in without a break. */
    val listeningSinceMs: Long

    /** Whether this term is over for the leader: no further input is handled. */
    val hasSteppedDown: Boolean

    /** Whether the leader's lease still runs; without it nothing may be decided, and no user answered. */
    fun isLeaseHeld(): Boolean

    /** Whether heartbeats may be answered: during the lease and for a grace period beyond it. */
    fun mayAnswerMachines(): Boolean

    /** Whether tasks may be placed. */
    fun mayPlace(): Boolean

    /** Whether all machines have had time to send a heartbeat, so that decisions may depend on absent ones. */
    fun isSettled(): Boolean

    /** Whether the key-value store leaves a commit without an answer for long. */
    fun isStalled(): Boolean

    /** Applies the event in memory and queues it for the log; returns the index of the record that will hold it. */
    fun append(event: Event): LogIndex

    /** Adds an effect to those of the batch. */
    fun emit(effect: Effect)

    /** Whether log lines of this level are written. */
    fun isLogged(level: LogLevel): Boolean

    /** Gives the term up; [transferLeadership] leaves the next one to other controllers. */
    fun stepDown(reason: String, transferLeadership: Boolean = false)
}

/** Logs [text], which is built only if the level is written. */
internal inline fun SchedulerContext.logEvent(level: LogLevel, text: () -> String) {
    if (isLogged(level)) emit(Effect.Log(level, text()))
}
