package cleathitch.leader

/** The outcome of a request to the scheduler. */
sealed interface RequestOutcome<out T> {
    /** The scheduler answered the request. */
    data class Answered<T>(val answer: T) : RequestOutcome<T>

    /** The request was not answered, for [reason]. */
    data class Unanswered(val reason: UnansweredReason) : RequestOutcome<Nothing>
}

/** Why the leader did not answer a request. */
enum class UnansweredReason {
    /** The request arrived before the term's decision log was replayed, or after the term ended. */
    RECOVERING,

    /** The queue holds the maximum number of requests. */
    QUEUE_FULL,

    /** The scheduler decided that the worker must not receive an answer. */
    REFUSED,

    /** The scheduler did not answer within the timeout. */
    TIMED_OUT,

    /** The term ended while the request was pending. */
    TERM_ENDED,
}
