package cleathitch.peers

import cleathitch.core.JobId
import cleathitch.core.ShownState
import cleathitch.core.UserReply
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** The leader's answer to one poll of a batch. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class StatusMessage(val kind: Kind, val done: Int, val running: Int) {
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
        NOT_NOW,
    }

    fun toReply(job: JobId): UserReply = when (kind) {
        Kind.QUEUED -> UserReply.Status(job, ShownState.QUEUED, done, running)
        Kind.RUNNING -> UserReply.Status(job, ShownState.RUNNING, done, running)
        Kind.DONE -> UserReply.Status(job, ShownState.DONE, done, running)
        Kind.CANCELLED -> UserReply.Status(job, ShownState.CANCELLED, done, running)
        Kind.NOT_FOUND -> UserReply.NotFound
        Kind.NOT_NOW -> UserReply.NotNow("the leader can't tell now")
    }

    companion object {
        private val notFound = StatusMessage(Kind.NOT_FOUND, 0, 0)
        private val notNow = StatusMessage(Kind.NOT_NOW, 0, 0)

        /** The message for a poll's [reply]; whatever isn't an answer to a poll tells nothing. */
        fun of(reply: UserReply): StatusMessage = when (reply) {
            is UserReply.Status -> StatusMessage(kindOf(reply.state), reply.done, reply.running)
            UserReply.NotFound -> notFound
            is UserReply.NotNow, is UserReply.Accepted, is UserReply.Aborted, is UserReply.NeverRuns -> notNow
        }

        private fun kindOf(state: ShownState) = when (state) {
            ShownState.QUEUED -> Kind.QUEUED
            ShownState.RUNNING -> Kind.RUNNING
            ShownState.DONE -> Kind.DONE
            ShownState.CANCELLED -> Kind.CANCELLED
        }
    }
}
