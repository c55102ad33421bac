package cleathitch.scheduler.jobs

import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskState

/**
 * A start that was decided and of which nobody has shown yet that it is over. While it stands, the
 * task counts in quota, spread and room, and is started nowhere else.
 */
class Attempt(val id: AttemptId, val job: Job, val machine: MachineId, val startSeq: LogIndex) {
    /** What the machine's newest report says, null while it shows nothing. */
    var seen: TaskState? = null
    var seenAtMs: Long? = null

    /** The version of the last message that carried the start, null while none was sent by this leader. */
    var sent: FencingToken? = null

    /** The machine's session for which this leader last sent the start. */
    var sentIncarnation = 0L

    /** The version up to which an order of an earlier term may still be on its way. */
    var inheritedToken: FencingToken? = null
    var stop: StopCause? = null
    var stopSentAtMs: Long? = null
    var runningSinceMs: Long? = null

    /** Any start on its way bears this version at most; null: surely none was ever sent. */
    val newestStartToken: FencingToken? get() = sent ?: inheritedToken
}
