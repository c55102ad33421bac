package cleathitch.scheduler.api

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.WorkerCommand

/** The leader's decision on one heartbeat. Only an [Answer] may renew a worker's lease. */
sealed interface HeartbeatDecision {
    /** The worker is answered with [commands] under [token]. */
    data class Answer(val token: FencingToken, val commands: List<WorkerCommand>) : HeartbeatDecision

    /** The worker must not get a reply that renews its lease. */
    data object Refuse : HeartbeatDecision

    /** The leader doesn't have the base of an unchanged heartbeat and decides once it has received the full heartbeat. */
    data object RequestFull : HeartbeatDecision
}
