package cleathitch.controller

import cleathitch.http.HttpResponse
import cleathitch.leader.LeaderTerm
import cleathitch.leader.RequestOutcome
import cleathitch.metrics.ProcessingStage
import cleathitch.metrics.ProcessingTimes
import cleathitch.metrics.logValue
import cleathitch.peers.LeaderBatcher
import cleathitch.protocol.MalformedMessageException
import cleathitch.protocol.UserProtocol
import cleathitch.protocol.WorkerProtocol
import cleathitch.scheduler.model.Heartbeat
import cleathitch.workers.ForwardOutcome
import cleathitch.workers.WorkerDistribution
import org.slf4j.LoggerFactory

/**
 * Answers workers' heartbeats: the leader decides on them itself, a follower forwards them to the leader, and either may redirect
 * the worker to another controller. Confined to the controller's event loop.
 */
internal class HeartbeatRouter(
    private val member: String,
    private val role: ControllerRole,
    private val contacts: FollowerContacts,
    private val batcher: LeaderBatcher,
    private val distribution: WorkerDistribution,
    private val processingTimes: ProcessingTimes,
    private val monotonicMs: () -> Long,
) {
    /** Answers the heartbeat in the request body [body]. */
    suspend fun handle(body: ByteArray): HttpResponse {
        // Right after an election, all workers send heartbeats at once. A heartbeat that can't be answered is therefore rejected
        // without being decoded.
        if (role.activeTerm?.isReady == false || role.activeTerm == null && role.leader == null) return HttpResponse(503)
        if (role.activeTerm == null && batcher.isLeaderUnreachable) return redirectTo(role.leader)
        val heartbeat = try {
            processingTimes.measure(ProcessingStage.HEARTBEAT_DECODING) { WorkerProtocol.heartbeat(body) }
        } catch (e: MalformedMessageException) {
            log.error("event=malformed_heartbeat error={}", logValue(e.message.orEmpty()))
            return HttpResponse(400, UserProtocol.error(e.message.orEmpty()))
        }
        return role.activeTerm?.let { answer(it, heartbeat) } ?: forward(heartbeat)
    }

    private suspend fun answer(term: LeaderTerm, heartbeat: Heartbeat): HttpResponse {
        val follower = distribution.followerFor(heartbeat.machine, contacts.reachableFollowers(), monotonicMs())
        if (follower != null) return redirectTo(follower)
        return when (val outcome = term.requests.heartbeat(heartbeat)) {
            is RequestOutcome.Answered -> HttpResponse(200, WorkerProtocol.heartbeatResponse(outcome.answer.token, outcome.answer.commands))
            is RequestOutcome.Unanswered -> if (role.activeTerm === term) {
                HttpResponse(503)
            } else {
                redirectTo(role.leader.takeIf { it != member })
            }
        }
    }

    private suspend fun forward(heartbeat: Heartbeat): HttpResponse = when (val outcome = batcher.forwardHeartbeat(heartbeat)) {
        is ForwardOutcome.Answered -> HttpResponse(200, WorkerProtocol.heartbeatResponse(outcome.token, outcome.commands))
        ForwardOutcome.Unanswered -> HttpResponse(503)
    }

    private fun redirectTo(controller: String?) = HttpResponse(421, WorkerProtocol.redirect(controller))

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.controller")
    }
}
