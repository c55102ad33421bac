package cleathitch.peers

import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** The leader's answer to one poll of a batch: the job's state, and the numbers of its tasks that are done and running. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class JobStatusMessage(val kind: Kind, val done: Int, val running: Int) {
    /** The serial names are part of the message format. */
    @Serializable
    enum class Kind {
        @SerialName("q")
        QUEUED,

        @SerialName("r")
        RUNNING,

        @SerialName("d")
        DONE,

        @SerialName("c")
        CANCELLED,

        @SerialName("f")
        NOT_FOUND,

        @SerialName("n")
        UNAVAILABLE,
    }

    /** The reply for a user who polled [job]. */
    fun toReply(job: JobId): UserReply = when (kind) {
        Kind.QUEUED -> UserReply.Status(job, JobState.QUEUED, done, running)
        Kind.RUNNING -> UserReply.Status(job, JobState.RUNNING, done, running)
        Kind.DONE -> UserReply.Status(job, JobState.DONE, done, running)
        Kind.CANCELLED -> UserReply.Status(job, JobState.CANCELLED, done, running)
        Kind.NOT_FOUND -> UserReply.NotFound
        Kind.UNAVAILABLE -> UserReply.Unavailable("the leader can't report the job's state at present")
    }

    companion object {
        private val notFound = JobStatusMessage(Kind.NOT_FOUND, 0, 0)
        private val unavailable = JobStatusMessage(Kind.UNAVAILABLE, 0, 0)

        /** The message for the [reply] to a poll. Replies to other requests aren't expected, and become [Kind.UNAVAILABLE]. */
        fun of(reply: UserReply): JobStatusMessage = when (reply) {
            is UserReply.Status -> JobStatusMessage(kindOf(reply.state), reply.done, reply.running)
            UserReply.NotFound -> notFound
            is UserReply.Unavailable, is UserReply.Accepted, is UserReply.Cancelled, is UserReply.Unsatisfiable -> unavailable
        }

        private fun kindOf(state: JobState) = when (state) {
            JobState.QUEUED -> Kind.QUEUED
            JobState.RUNNING -> Kind.RUNNING
            JobState.DONE -> Kind.DONE
            JobState.CANCELLED -> Kind.CANCELLED
        }
    }
}
