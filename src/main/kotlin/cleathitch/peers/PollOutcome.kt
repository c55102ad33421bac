package cleathitch.peers

import cleathitch.scheduler.api.UserReply

/** What a follower learned from the leader about one poll. */
sealed interface PollOutcome {
    /** The leader's reply, in time. */
    data class Answered(val reply: UserReply) : PollOutcome

    /** There is no answer that may be passed on. */
    data class Unanswered(val reason: Reason) : PollOutcome

    /** Why there is no answer. */
    enum class Reason {
        /** No leader is known. */
        NO_LEADER,

        /** The leader gave no usable answer to the poll's batch. */
        NO_ANSWER,

        /** The answer came after the user gave up. */
        TOO_LATE,
    }

    /** The reply, for callers that handle every failure alike. */
    fun replyOrNull(): UserReply? = when (this) {
        is Answered -> reply
        is Unanswered -> null
    }
}
