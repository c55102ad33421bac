package cleathitch.controller

import cleathitch.http.Address
import cleathitch.metrics.ProcessingStage
import cleathitch.metrics.ProcessingTimes
import cleathitch.peers.BatchResult
import cleathitch.peers.KnownLeader
import cleathitch.peers.OutgoingBatch
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerCodec
import cleathitch.peers.PeerReply
import cleathitch.peers.PeerRequest
import cleathitch.peers.PeerResult

/** Sends a follower's batches to the leader and decodes the answers. An answer with decisions also counts as contact with the leader. */
internal class BatchForwarder(
    private val member: String,
    private val peerAddresses: Map<String, Address>,
    private val client: PeerClient,
    private val role: ControllerRole,
    private val processingTimes: ProcessingTimes,
) {
    /** Sends [batch] to [leader] and waits for its decisions, for at most [timeoutMs]. */
    suspend fun send(leader: KnownLeader, batch: OutgoingBatch, timeoutMs: Long): BatchResult {
        val address = peerAddresses[leader.member] ?: return BatchResult.NotLeading
        val encoded = processingTimes.measure(ProcessingStage.BATCH_ENCODING) {
            PeerCodec.encode(PeerRequest.FollowerBatch.of(member, batch))
        }
        return when (val result = client.request(address, encoded, timeoutMs)) {
            is PeerResult.Answered -> resultOf(leader, batch, result.reply)
            PeerResult.Unreachable -> BatchResult.Unreachable
            PeerResult.Rejected -> BatchResult.Rejected
            PeerResult.TimedOut -> BatchResult.TimedOut
        }
    }

    private fun resultOf(leader: KnownLeader, batch: OutgoingBatch, reply: PeerReply): BatchResult {
        val decisions = reply.decisions ?: return BatchResult.NotLeading
        val statuses = reply.statuses ?: return BatchResult.NotLeading
        role.onLeaderAnnouncement(leader.member, leader.term)
        return BatchResult.Answered(
            decisions.map { it.toDecision() },
            batch.polls.zip(statuses) { job, status -> status.toReply(job) },
        )
    }
}
