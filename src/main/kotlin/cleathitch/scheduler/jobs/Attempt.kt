package cleathitch.scheduler.jobs

import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskState

/**
 * One execution attempt of a task. While the attempt is live, that is until its termination is confirmed, it counts towards quota,
 * spread and the machine's load, and the task isn't started again. Owned by [JobTable]; confined to the leader's event loop.
 */
class Attempt(val id: AttemptId, val job: Job, val machine: MachineId, startIndex: LogIndex) {
    /** The record that contains the start; for an attempt restored from a snapshot, the last record that the snapshot includes. */
    var startIndex = startIndex
        private set

    /** The attempt's state in the machine's newest heartbeat, null if that doesn't report the attempt. */
    var observedState: TaskState? = null
        private set

    /** When this leader first saw that the attempt's image had been fetched, null if it hasn't seen that yet. */
    var runningSinceMs: Long? = null
        private set

    /** Why the attempt is to be stopped, null if it isn't to be stopped. */
    var stopCause: StopCause? = null
        private set

    /** The worker incarnation to which this leader last sent the start command; 0 if it sent none. */
    var lastSentIncarnation = 0L
        private set

    /** The fencing token with which this leader last sent the start command, null if it sent none. */
    private var lastSentToken: FencingToken? = null

    /**
     * An exclusive upper bound on the tokens of commands of earlier terms that may still be in flight; null if the attempt was created
     * in this term.
     */
    private var inheritedToken: FencingToken? = null

    /** Whether the attempt was created in an earlier term. */
    val isInherited: Boolean get() = inheritedToken != null

    /** An upper bound on the tokens of all start commands in flight; null if none can have been sent yet. */
    val newestStartToken: FencingToken? get() = lastSentToken ?: inheritedToken

    /**
     * Whether a worker that has seen [token] rejects every start command that earlier leaders sent for the attempt. Always true if the
     * attempt was created in this term.
     */
    fun isFencedFromEarlierTerms(token: FencingToken): Boolean = inheritedToken?.let { token >= it } ?: true

    /** Records the attempt's [state] in the machine's newest heartbeat, null if that doesn't report the attempt. */
    fun observe(state: TaskState?) {
        observedState = state
    }

    /** Records that the attempt's image has been fetched. */
    fun recordRunning(nowMs: Long) {
        runningSinceMs = nowMs
    }

    /** Records that the start command was sent with [token] to the worker's [incarnation]. */
    fun recordSent(token: FencingToken, incarnation: Long) {
        lastSentToken = token
        lastSentIncarnation = incarnation
    }

    /** Records that compaction has moved the start to record [index], which is committed. */
    fun relocateStart(index: LogIndex) {
        startIndex = index
    }

    /** Marks the attempt as to be stopped; a later cause replaces an earlier one. */
    fun requestStop(cause: StopCause) {
        stopCause = cause
    }

    /** Marks the attempt as created in an earlier term, whose leader may have sent start commands with tokens below [token]. */
    fun inherit(token: FencingToken) {
        inheritedToken = token
    }
}
