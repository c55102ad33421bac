package cleathitch.peers

import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.UserReply

/** The result of a batch that a follower sent to the leader. */
sealed interface BatchResult {
    /** The leader's decisions and answers, in the order of the batch's heartbeats and polls. */
    data class Answered(val decisions: List<HeartbeatDecision>, val statuses: List<UserReply>) : BatchResult

    /** The controller that received the batch doesn't lead in the batch's term, or can't decide yet. */
    data object NotLeading : BatchResult

    /** The connection failed. */
    data object Unreachable : BatchResult

    /** A connection was there, but no answer came in time. */
    data object TimedOut : BatchResult
}
