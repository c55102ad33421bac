package cleathitch.leader

/** What came of a request to the scheduler. */
sealed interface RequestOutcome<out T> {
    /** The scheduler's answer. */
    data class Answered<T>(val answer: T) : RequestOutcome<T>

    /** There is no answer, and why. */
    data class Unanswered(val reason: UnansweredReason) : RequestOutcome<Nothing>
}

/** Why the leader leaves a request without an answer. */
enum class UnansweredReason {
    /** The term's log is still being replayed. */
    RECOVERING,

    /** As many requests wait as the queue may hold. */
    QUEUE_FULL,

    /** The scheduler decided that the worker must not get an answer. */
    REFUSED,

    /** The scheduler hasn't answered in time. */
    TIMED_OUT,

    /** The term ended while the request waited. */
    TERM_ENDED,
}
