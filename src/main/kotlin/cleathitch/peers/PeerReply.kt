package cleathitch.peers

import kotlinx.serialization.Serializable

@Serializable
@Suppress("ArrayInDataClass") // never compared
data class PeerReply(
    val status: Int,
    val body: ByteArray? = null,
    val retryAfterS: Int? = null,
    val leader: String? = null,
    val term: Long = 0,

    /** Decisions about reports, in the order of [PeerRequest.FollowerBatch.toReports]. */
    val decisions: List<HeartbeatDecisionMessage>? = null,

    /** Answers to polls, in the order of [PeerRequest.FollowerBatch.polls]. */
    val statuses: List<JobStatusMessage>? = null,
)
