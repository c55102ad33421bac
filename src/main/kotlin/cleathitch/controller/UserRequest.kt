package cleathitch.controller

import cleathitch.protocol.MalformedMessageException
import cleathitch.protocol.UserProtocol
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec

/** A user's request as its method, path and body say it. */
internal sealed interface UserRequest {
    /** A request that the leader answers. */
    sealed interface ForLeader : UserRequest

    /** A job to accept. */
    data class Submit(val spec: JobSpec) : ForLeader

    /** A query of a job's state. */
    data class Poll(val job: JobId) : ForLeader

    /** A job to cancel. */
    data class Cancel(val job: JobId) : ForLeader

    /** The path names a job in a form that no job's name has. */
    data object UnknownJob : ForLeader

    /** The path is right, and the method isn't one of its methods. */
    data object MethodNotAllowed : UserRequest

    /** No user request has this path. */
    data object UnknownPath : UserRequest

    /** The body can't be parsed. */
    data class Malformed(val reason: String) : UserRequest

    companion object {
        private const val PATH = "/submissions"
        private const val CANCEL = "abort"

        /** Whether [path] is one of the paths for users, by its beginning. */
        fun isUserPath(path: String) = path == PATH || path.startsWith("$PATH/")

        /** Reads a request whose path [isUserPath] has recognized. */
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
