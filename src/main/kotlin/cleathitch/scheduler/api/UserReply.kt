package cleathitch.scheduler.api

import cleathitch.scheduler.model.JobId

sealed interface UserReply {
    data class Accepted(val job: JobId, val state: JobState, val known: Boolean) : UserReply
    data class Status(val job: JobId, val state: JobState, val done: Int, val running: Int) : UserReply
    data class Cancelled(val job: JobId, val state: JobState) : UserReply
    data class Unsatisfiable(val reason: String) : UserReply
    data object NotFound : UserReply

    /** Not now; the user may ask again after [retryAfterS]. */
    data class Unavailable(val reason: String, val retryAfterS: Int = 1) : UserReply
}
