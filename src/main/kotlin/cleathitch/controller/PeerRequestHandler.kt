package cleathitch.controller

import cleathitch.http.HttpResponse
import cleathitch.leader.RequestOutcome
import cleathitch.metrics.ProcessingStage
import cleathitch.metrics.ProcessingTimes
import cleathitch.peers.DeliveryMessage
import cleathitch.peers.DeliveryResult
import cleathitch.peers.HeartbeatDecisionMessage
import cleathitch.peers.JobStatusMessage
import cleathitch.peers.LeaderBatcher
import cleathitch.peers.PeerReply
import cleathitch.peers.PeerRequest
import cleathitch.scheduler.api.Effect
import cleathitch.workers.WorkerClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/**
 * Answers the requests of other controllers. Each reply contains the leader and the newest term that this controller knows.
 * Confined to the controller's event loop; commands are delivered to workers in coroutines of [scope].
 */
class PeerRequestHandler internal constructor(
    private val role: ControllerRole,
    private val contacts: FollowerContacts,
    private val imageCacheHints: ImageCacheHintSharing,
    private val userRequests: UserRequestRouter,
    private val batcher: LeaderBatcher,
    private val workers: WorkerClient,
    private val processingTimes: ProcessingTimes,
    private val scope: CoroutineScope,
) {
    /** Answers one request; [PeerReply.status] is an HTTP status code. */
    suspend fun handle(request: PeerRequest): PeerReply = when (request) {
        is PeerRequest.AnnounceLeader -> {
            role.onLeaderAnnouncement(request.from, request.term)
            reply(200)
        }
        is PeerRequest.ImageCacheHints -> {
            imageCacheHints.record(request)
            reply(200)
        }
        is PeerRequest.ForwardUserRequest ->
            reply(userRequests.handle(request.method, request.path, request.body, forwarded = true))
        is PeerRequest.FollowerBatch -> decide(request)
        is PeerRequest.DeliverCommands -> deliver(request)
    }

    /** Answers a follower's heartbeats and polls if this controller is the leader of the batch's term. */
    private suspend fun decide(batch: PeerRequest.FollowerBatch): PeerReply {
        role.stepDownIfOlderThan(batch.term, batch.from)
        val term = role.activeTerm?.takeIf { it.revision == batch.term && it.isReady } ?: return reply(503)
        contacts.recordContact(batch.from)
        term.recordDeliveryResults(batch.deliveryResults)
        val heartbeats = processingTimes.measure(ProcessingStage.BATCH_DECODING) { batch.toHeartbeats() }
        contacts.recordHeartbeats(batch.from, heartbeats.map { it.machine })
        return when (val outcome = term.requests.followerBatch(heartbeats, batch.polls)) {
            is RequestOutcome.Answered -> reply(outcome.answer)
            is RequestOutcome.Unanswered -> reply(503)
        }
    }

    /** Delivers the leader's commands to workers; the workers' answers are sent to the leader with the next batches. */
    private fun deliver(request: PeerRequest.DeliverCommands): PeerReply {
        role.onLeaderAnnouncement(request.from, request.term)
        val isFromLeader = role.activeTerm == null && role.leader == request.from && role.leaderTerm == request.term
        if (!isFromLeader) return reply(503)
        request.commands.forEach { command -> scope.launch { deliver(request.term, command) } }
        return reply(200)
    }

    private suspend fun deliver(term: Long, command: DeliveryMessage) {
        val heartbeat = workers.send(command.toCommand()).valueOrNull()
        if (heartbeat != null) batcher.forwardDeliveryResult(DeliveryResult(term, command.id, heartbeat))
    }

    private fun reply(status: Int) = PeerReply(status, leader = role.leader, term = role.leaderTerm)

    private fun reply(reply: HttpResponse) = PeerReply(reply.status, reply.body, reply.retryAfterS, role.leader, role.leaderTerm)

    private fun reply(answer: Effect.AnswerFollower) = PeerReply(
        status = 200,
        leader = role.leader,
        term = role.leaderTerm,
        decisions = answer.decisions.map(HeartbeatDecisionMessage::of),
        statuses = answer.statuses.map(JobStatusMessage::of),
    )
}
