package cleathitch.scheduler.api

import cleathitch.scheduler.model.JobId

/** The answer to a user's submission, poll or cancellation. */
sealed interface UserReply {
    /** The job is accepted and durable; [known] if it was before this submission. */
    data class Accepted(val job: JobId, val state: JobState, val known: Boolean) : UserReply

    /** The job's state, with the number of its tasks that are complete and that run. */
    data class Status(val job: JobId, val state: JobState, val done: Int, val running: Int) : UserReply

    /** The job is over: cancelled, or done before the cancellation. */
    data class Cancelled(val job: JobId, val state: JobState) : UserReply

    /** The job could never run, and isn't accepted. */
    data class Unsatisfiable(val reason: String) : UserReply

    /** No such job was ever accepted. */
    data object NotFound : UserReply

    /** The leader can't answer now; the user may ask again after [retryAfterS]. */
    data class Unavailable(val reason: String, val retryAfterS: Int = 1) : UserReply
}
