package cleathitch.scheduler.api

import cleathitch.scheduler.model.JobId

/** The answer to a user's submission, poll or cancellation. */
sealed interface UserReply {
    /** The job is accepted and durably stored; [known] if an earlier submission of it was already accepted. */
    data class Accepted(val job: JobId, val state: JobState, val known: Boolean) : UserReply

    /** The job's state, with the numbers of its completed and running tasks. */
    data class Status(val job: JobId, val state: JobState, val done: Int, val running: Int) : UserReply

    /** The job has ended: it was cancelled, or completed before the cancellation. */
    data class Cancelled(val job: JobId, val state: JobState) : UserReply

    /** The job is rejected because it could never run. */
    data class Unsatisfiable(val reason: String) : UserReply

    /** No job with this identifier has been accepted. */
    data object NotFound : UserReply

    /** The leader can't answer at the moment; the user may retry after [retryAfterS] seconds. */
    data class Unavailable(val reason: String, val retryAfterS: Int = 1) : UserReply
}
