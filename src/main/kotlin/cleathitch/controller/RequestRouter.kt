package cleathitch.controller

import cleathitch.http.HttpResponse

/** Routes the requests of the load balancer, workers and users by path. */
class RequestRouter internal constructor(
    private val readiness: Readiness,
    private val heartbeats: HeartbeatRouter,
    private val userRequests: UserRequestRouter,
) {
    /** Answers one request received at the public address. */
    suspend fun handle(method: String, path: String, body: ByteArray): HttpResponse = when {
        path == READY_PATH -> if (method == "GET") HttpResponse(if (readiness.isReady()) 200 else 503) else HttpResponse(405)
        path == HEARTBEAT_PATH -> if (method == "POST") heartbeats.handle(body) else HttpResponse(405)
        UserRequest.isUserPath(path) -> userRequests.handle(method, path, body, forwarded = false)
        else -> HttpResponse(404)
    }

    private companion object {
        const val READY_PATH = "/ready"
        const val HEARTBEAT_PATH = "/agent/beat"
    }
}
