package cleathitch.peers

import kotlinx.serialization.Serializable

/**
 * A controller's answer to a [PeerRequest]. [status] is an HTTP status code; [body] and [retryAfterS] answer a forwarded user
 * request. [leader] and [term] are those that the answering controller knows. Property names are part of the message format.
 */
@Serializable
@Suppress("ArrayInDataClass") // never compared
data class PeerReply(
    val status: Int,
    val body: ByteArray? = null,
    val retryAfterS: Int? = null,
    val leader: String? = null,
    val term: Long = 0,

    /** Decisions about heartbeats, in the order of [PeerRequest.FollowerBatch.toHeartbeats]. */
    val decisions: List<HeartbeatDecisionMessage>? = null,

    /** Answers to polls, in the order of [PeerRequest.FollowerBatch.polls]. */
    val statuses: List<JobStatusMessage>? = null,
)
