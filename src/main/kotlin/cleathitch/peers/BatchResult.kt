package cleathitch.peers

import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.UserReply

/** The result of a batch that a follower sent to the leader. */
sealed interface BatchResult {
    /** The leader's decisions about the batch's heartbeats and its answers to the polls, each in the order of the batch. */
    data class Answered(val decisions: List<HeartbeatDecision>, val statuses: List<UserReply>) : BatchResult

    /**
     * The receiving controller isn't the leader of the batch's term or isn't ready yet. Also returned if this controller doesn't know
     * the leader's address or an exception was thrown while it sent the batch.
     */
    data object NotLeading : BatchResult

    /** The connection failed, or the answer isn't a valid peer reply. */
    data object Unreachable : BatchResult

    /** The leader doesn't accept a request of this content. It works, and the next batch may be accepted. */
    data object Rejected : BatchResult

    /** The connection succeeded, but there was no answer in time. */
    data object TimedOut : BatchResult
}
