package cleathitch.scheduler.simulation

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.RequestId

/** Requests that no scheduler has answered yet, with the callback for each answer. */
class PendingRequests {
    private var lastNumber = 0L
    private val userCallbacks = HashMap<RequestId, (UserReply) -> Unit>()
    private val heartbeatCallbacks = HashMap<RequestId, (Effect.AnswerHeartbeat) -> Unit>()
    private val followerBatchCallbacks = HashMap<RequestId, (Effect.AnswerFollower) -> Unit>()

    /** Returns a new request id. A request that uses it directly has no callback, so its answer is dropped. */
    fun newRequestId() = RequestId(++lastNumber)

    fun addUserRequest(onReply: (UserReply) -> Unit) = newRequestId().also { userCallbacks[it] = onReply }

    fun addHeartbeat(onAnswer: (Effect.AnswerHeartbeat) -> Unit) = newRequestId().also { heartbeatCallbacks[it] = onAnswer }

    fun addFollowerBatch(onAnswer: (Effect.AnswerFollower) -> Unit) = newRequestId().also { followerBatchCallbacks[it] = onAnswer }

    fun answer(effect: Effect.Answer) {
        userCallbacks.remove(effect.request)?.invoke(effect.reply)
    }

    fun answer(effect: Effect.AnswerHeartbeat) {
        heartbeatCallbacks.remove(effect.request)?.invoke(effect)
    }

    fun answer(effect: Effect.AnswerFollower) {
        followerBatchCallbacks.remove(effect.request)?.invoke(effect)
    }

    fun refuse(effect: Effect.RefuseHeartbeat) {
        heartbeatCallbacks.remove(effect.request)
    }
}
