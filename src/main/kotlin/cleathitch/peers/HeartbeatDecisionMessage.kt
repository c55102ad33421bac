package cleathitch.peers

import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.model.FencingToken
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** The leader's decision about one heartbeat of a batch. [token] and [commands] are only used with [Kind.ANSWER]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class HeartbeatDecisionMessage(val kind: Kind, val token: Long, val commands: List<WorkerCommandMessage>) {
    /** The serial names are part of the message format. */
    @Serializable
    enum class Kind {
        @SerialName("a")
        ANSWER,

        @SerialName("r")
        REFUSE,

        @SerialName("w")
        REQUEST_FULL,
    }

    /** The decision that this message contains. */
    fun toDecision(): HeartbeatDecision = when (kind) {
        Kind.ANSWER -> HeartbeatDecision.Answer(FencingToken(token), commands.map { it.toWorkerCommand() })
        Kind.REFUSE -> HeartbeatDecision.Refuse
        Kind.REQUEST_FULL -> HeartbeatDecision.RequestFull
    }

    companion object {
        private val refuse = HeartbeatDecisionMessage(Kind.REFUSE, 0, emptyList())
        private val requestFull = HeartbeatDecisionMessage(Kind.REQUEST_FULL, 0, emptyList())

        /** The message that contains [decision]. */
        fun of(decision: HeartbeatDecision): HeartbeatDecisionMessage = when (decision) {
            is HeartbeatDecision.Answer ->
                HeartbeatDecisionMessage(Kind.ANSWER, decision.token.packed, decision.commands.map(WorkerCommandMessage::of))
            HeartbeatDecision.Refuse -> refuse
            HeartbeatDecision.RequestFull -> requestFull
        }
    }
}
