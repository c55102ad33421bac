package cleathitch.controller

import cleathitch.http.HttpReply

/** Routes the requests of the load balancer, workers and users by path. */
class RequestRouter internal constructor(
    private val readiness: Readiness,
    private val heartbeats: HeartbeatRouter,
    private val userRequests: UserRequestRouter,
) {
    /** Answers one request received at the public address. */
    suspend fun handle(method: String, path: String, body: ByteArray): HttpReply = when {
        path == READY_PATH -> if (method == "GET") HttpReply(if (readiness.isReady()) 200 else 503) else HttpReply(405)
        path == HEARTBEAT_PATH -> if (method == "POST") heartbeats.handle(body) else HttpReply(405)
        UserRequest.isUserPath(path) -> userRequests.handle(method, path, body, forwarded = false)
        else -> HttpReply(404)
    }

    private companion object {
        const val READY_PATH = "/ready"
        const val HEARTBEAT_PATH = "/agent/beat"
    }
}
