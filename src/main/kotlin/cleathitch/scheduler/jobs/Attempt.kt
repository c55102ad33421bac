package cleathitch.scheduler.jobs

import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskState

/**
 * A start of a task that isn't known to be over. While it is live, the task counts in quota, spread and the machine's
 * load, and is started nowhere else. Owned by [JobTable]; confined to the leader's event loop.
 */
class Attempt(val id: AttemptId, val job: Job, val machine: MachineId, val startIndex: LogIndex) {
    /** The state that the machine's newest heartbeat shows, null if it doesn't list the attempt. */
    var observedState: TaskState? = null
        private set

    /** Since when the attempt is known to have its image, null before that. */
    var runningSinceMs: Long? = null
        private set

    /** Why the attempt is to be stopped, null if it isn't. */
    var stopCause: StopCause? = null
        private set

    /** The worker's incarnation for which this leader last sent the start. */
    var lastSentIncarnation = 0L
        private set

    /** The token under which this leader last sent the start, null if it didn't. */
    private var lastSentToken: FencingToken? = null

    /** The token below which a command of an earlier term may still be in flight, null if the attempt began in this term. */
    private var inheritedToken: FencingToken? = null

    /** Whether an earlier leader began the attempt. */
    val isInherited: Boolean get() = inheritedToken != null

    /** Any start in flight has this token at most; null if none was ever sent. */
    val newestStartToken: FencingToken? get() = lastSentToken ?: inheritedToken

    /** The machine's newest heartbeat shows [state], or doesn't list the attempt. */
    fun observe(state: TaskState?) {
        observedState = state
    }

    /** The attempt has its image. */
    fun recordRunning(nowMs: Long) {
        runningSinceMs = nowMs
    }

    /** The start was sent under [token], for the worker's [incarnation]. */
    fun recordSent(token: FencingToken, incarnation: Long) {
        lastSentToken = token
        lastSentIncarnation = incarnation
    }

    /** The attempt is to be stopped; a later cause replaces an earlier one. */
    fun requestStop(cause: StopCause) {
        stopCause = cause
    }

    /** An earlier leader began the attempt, and may have sent starts under tokens below [token]. */
    fun inherit(token: FencingToken) {
        inheritedToken = token
    }
}
