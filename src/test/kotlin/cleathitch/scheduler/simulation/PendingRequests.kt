package cleathitch.scheduler.simulation

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.RequestId

/** Requests that a scheduler has received and not answered yet, with what to do with the answer. */
class PendingRequests {
    private var lastNumber = 0L
    private val users = HashMap<RequestId, (UserReply) -> Unit>()
    private val heartbeats = HashMap<RequestId, (Effect.AnswerHeartbeat) -> Unit>()
    private val followerBatches = HashMap<RequestId, (Effect.AnswerFollower) -> Unit>()

    /** The id of a request whose answer nobody waits for. */
    fun withoutAnswer() = RequestId(++lastNumber)

    fun ofUser(onReply: (UserReply) -> Unit) = withoutAnswer().also { users[it] = onReply }

    fun ofHeartbeat(onAnswer: (Effect.AnswerHeartbeat) -> Unit) = withoutAnswer().also { heartbeats[it] = onAnswer }

    fun ofFollowerBatch(onAnswer: (Effect.AnswerFollower) -> Unit) = withoutAnswer().also { followerBatches[it] = onAnswer }

    fun answer(effect: Effect.Answer) {
        users.remove(effect.request)?.invoke(effect.reply)
    }

    fun answer(effect: Effect.AnswerHeartbeat) {
        heartbeats.remove(effect.request)?.invoke(effect)
    }

    fun answer(effect: Effect.AnswerFollower) {
        followerBatches.remove(effect.request)?.invoke(effect)
    }

    fun refuse(effect: Effect.RefuseHeartbeat) {
        heartbeats.remove(effect.request)
    }
}
