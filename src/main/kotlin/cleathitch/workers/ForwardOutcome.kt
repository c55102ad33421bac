package cleathitch.workers

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.WorkerCommand

/** The outcome of a heartbeat that a follower forwarded to the leader. */
sealed interface ForwardOutcome {
    /** The leader's answer. Only the leader can renew the worker's lease; a follower never answers on its own. */
    data class Answered(val token: FencingToken, val commands: List<WorkerCommand>) : ForwardOutcome

    /** The leader refused the heartbeat, or there was no usable answer in time. */
    data object Unanswered : ForwardOutcome
}
