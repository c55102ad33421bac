package cleathitch.peers

import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.UserReply

/** What came of a batch that was sent to the leader. */
sealed interface BatchResult {
    /** The leader's decisions and answers, in the order of the batch's reports and polls. */
    data class Answered(val decisions: List<HeartbeatDecision>, val statuses: List<UserReply>) : BatchResult

    /** The node that was asked doesn't lead in the batch's term, or can't decide yet. */
    data object NotLeading : BatchResult

    /** The connection failed before the time was over. */
    data object Unreachable : BatchResult
    data object TimedOut : BatchResult
}
