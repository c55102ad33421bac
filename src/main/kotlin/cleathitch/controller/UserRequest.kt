package cleathitch.controller

import cleathitch.protocol.MalformedMessageException
import cleathitch.protocol.UserProtocol
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec

/** A user's request, parsed from its method, path and body. */
internal sealed interface UserRequest {
    /** A request that only the leader can answer. */
    sealed interface ForLeader : UserRequest

    /** Submits a job. */
    data class Submit(val spec: JobSpec) : ForLeader

    /** Queries a job's state. */
    data class Poll(val job: JobId) : ForLeader

    /** Cancels a job. */
    data class Cancel(val job: JobId) : ForLeader

    /** The job ID in the path is malformed, so no such job exists. */
    data object UnknownJob : ForLeader

    /** The path is valid, but doesn't support the method. */
    data object MethodNotAllowed : UserRequest

    /** The path is not that of any user request. */
    data object UnknownPath : UserRequest

    /** The body can't be parsed. */
    data class Malformed(val reason: String) : UserRequest

    companion object {
        private const val PATH = "/submissions"
        private const val CANCEL = "abort"

        /** Whether [path] begins like the path of a user request. */
        fun isUserPath(path: String) = path == PATH || path.startsWith("$PATH/")

        /** Parses a request; [isUserPath] must be true for its [path]. */
        fun parse(method: String, path: String, body: ByteArray): UserRequest {
            if (path == PATH) return if (method == "POST") parseSubmission(body) else MethodNotAllowed
            val parts = path.removePrefix("$PATH/").split('/')
            val job = UserProtocol.jobId(parts[0]) ?: return UnknownJob
            return when {
                parts.size == 1 && method == "GET" -> Poll(job)
                parts.size == 2 && parts[1] == CANCEL && method == "POST" -> Cancel(job)
                isKnownPath(path) -> MethodNotAllowed
                else -> UnknownPath
            }
        }

        private fun parseSubmission(body: ByteArray): UserRequest = try {
            Submit(UserProtocol.submission(body))
        } catch (e: MalformedMessageException) {
            Malformed(e.message.orEmpty())
        }

        private fun isKnownPath(path: String): Boolean {
            val parts = path.removePrefix(PATH).trim('/').split('/')
            return parts.size == 1 || (parts.size == 2 && parts[1] == CANCEL)
        }
    }
}
