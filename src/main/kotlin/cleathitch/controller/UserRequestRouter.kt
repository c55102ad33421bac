package cleathitch.controller

import cleathitch.http.Address
import cleathitch.http.HttpResponse
import cleathitch.leader.TermRequests
import cleathitch.peers.LeaderBatcher
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerRequest
import cleathitch.peers.reply
import cleathitch.protocol.UserProtocol
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId

/** Answers users' requests; a follower passes them on to the leader. Confined to the controller's event loop. */
internal class UserRequestRouter(
    private val role: ControllerRole,
    private val batcher: LeaderBatcher,
    private val client: PeerClient,
    private val peerAddresses: Map<String, Address>,
) {
    /**
     * Answers one request. A request that a peer has [forwarded] isn't forwarded again, because it could go back and forth between
     * two controllers that disagree on the leader.
     */
    suspend fun handle(method: String, path: String, body: ByteArray, forwarded: Boolean): HttpResponse =
        when (val request = UserRequest.parse(method, path, body)) {
            UserRequest.MethodNotAllowed -> HttpResponse(405)
            UserRequest.UnknownPath -> HttpResponse(404)
            is UserRequest.Malformed -> HttpResponse(400, UserProtocol.error(request.reason))
            is UserRequest.ForLeader -> {
                val activeTerm = role.activeTerm
                when {
                    activeTerm != null -> UserProtocol.reply(answer(request, activeTerm.requests))
                    request is UserRequest.Poll -> poll(request.job)
                    forwarded -> leaderUnreachableReply()
                    else -> forward(method, path, body)
                }
            }
        }

    private suspend fun answer(request: UserRequest.ForLeader, requests: TermRequests): UserReply = when (request) {
        is UserRequest.Submit -> requests.submit(request.spec)
        is UserRequest.Poll -> requests.poll(request.job)
        is UserRequest.Cancel -> requests.cancel(request.job)
        UserRequest.UnknownJob -> UserReply.NotFound
    }

    /** Forwards a poll to the leader, in a batch with others. */
    private suspend fun poll(job: JobId): HttpResponse {
        if (role.knownLeader() == null || batcher.isLeaderUnreachable) return leaderUnreachableReply()
        return batcher.forwardPoll(job).replyOrNull()?.let(UserProtocol::reply) ?: leaderUnreachableReply()
    }

    private suspend fun forward(method: String, path: String, body: ByteArray): HttpResponse {
        val address = role.leader?.let(peerAddresses::get) ?: return leaderUnreachableReply()
        val request = PeerRequest.ForwardUserRequest(method, path, body)
        val reply = client.request(address, request, FORWARD_TIMEOUT_MS).reply ?: return leaderUnreachableReply()
        return HttpResponse(reply.status, reply.body, reply.retryAfterS)
    }

    private fun leaderUnreachableReply() = UserProtocol.unavailableOnThisController("no way to the leader")

    private companion object {
        /** Users wait 2 s for an answer; the remaining 200 ms are for the round trip between the user and this controller. */
        const val FORWARD_TIMEOUT_MS = 1800L
    }
}
