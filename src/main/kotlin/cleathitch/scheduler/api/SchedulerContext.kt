package cleathitch.scheduler.api

import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.ClockReading

/** The state of the leader's term shared by the scheduler's components. Confined to the leader's event loop. */
internal interface SchedulerContext {
    /** The time of the input batch that is being handled. */
    val now: ClockReading

    /** The time on the monotonic clock since which heartbeats could be answered without interruption. */
    val answeringSinceMs: Long

    /** The time on the monotonic clock at which the leader's lease was last extended. */
    val leaseRenewedMs: Long

    /** Whether the leader has ended this term, after which no input is handled. */
    val hasSteppedDown: Boolean

    /** Whether the leader's lease is still valid; without it the leader may neither make decisions nor answer users. */
    fun isLeaseHeld(): Boolean

    /** Whether heartbeats may be answered, which holds during the lease and for a grace period after it. */
    fun mayAnswerMachines(): Boolean

    /** Whether tasks may be placed. */
    fun mayPlaceTasks(): Boolean

    /** Whether all machines have had time to send a heartbeat, so that decisions may rely on missing heartbeats. */
    fun isFleetObserved(): Boolean

    /** Whether a commit has been waiting for the key-value store's response for too long. */
    fun isCommitStalled(): Boolean

    /** Applies the event in memory and queues it for the log; returns the index of the record that will contain it. */
    fun append(event: Event): LogIndex

    /** Adds an effect to the batch's effects. */
    fun emit(effect: Effect)

    /** Whether log lines of this level are written. */
    fun isLogged(level: LogLevel): Boolean

    /** Ends the term; with [transferLeadership] this controller doesn't campaign for some time, so that another one leads. */
    fun stepDown(reason: String, transferLeadership: Boolean = false)
}

/** Logs [text], which is evaluated only if the level is enabled. */
internal inline fun SchedulerContext.logEvent(level: LogLevel, text: () -> String) {
    if (isLogged(level)) emit(Effect.Log(level, text()))
}
