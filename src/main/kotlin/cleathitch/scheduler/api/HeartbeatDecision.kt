package cleathitch.scheduler.api

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.WorkerCommand

/** What the leader decided about one report. Only an [Answer] may renew a worker's lease. */
sealed interface HeartbeatDecision {
    data class Answer(val token: FencingToken, val commands: List<WorkerCommand>) : HeartbeatDecision

    /** The worker must not get an answer that renews its lease. */
    data object Refuse : HeartbeatDecision

    /** The leader doesn't hold the heartbeat's base, and decides once it has the whole report. */
    data object RequestFull : HeartbeatDecision
}
