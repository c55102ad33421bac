package cleathitch.workers

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.WorkerCommand

/** What a follower may answer a worker whose heartbeat it forwarded. */
sealed interface ForwardOutcome {
    /** The leader's own answer, the only one that renews the worker's lease. */
    data class Answered(val token: FencingToken, val commands: List<WorkerCommand>) : ForwardOutcome

    /** The leader refused the heartbeat, or gave no answer in time. */
    data object Unanswered : ForwardOutcome
}
