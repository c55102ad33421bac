package cleathitch.peers

import cleathitch.scheduler.api.UserReply

/** The outcome of a poll that a follower forwarded to the leader. */
sealed interface PollOutcome {
    /** The leader's reply, received in time. */
    data class Answered(val reply: UserReply) : PollOutcome

    /** There is no answer, or none that may be returned to the user. */
    data class Unanswered(val reason: Reason) : PollOutcome

    /** Why a poll is unanswered. */
    enum class Reason {
        /** No leader is known. */
        NO_LEADER,

        /** The poll's batch failed, or the leader's answer to it was unusable. */
        NO_ANSWER,

        /** The answer arrived after the poll had timed out. */
        TOO_LATE,
    }

    /** The reply; null if there is none, for any [Reason]. */
    fun replyOrNull(): UserReply? = when (this) {
        is Answered -> reply
        is Unanswered -> null
    }
}
