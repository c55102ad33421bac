package cleathitch.election

import cleathitch.scheduler.model.Term

/**
 * One term's lease, as both loops see it: kept on a loop of its own, used and given up where the work is done.
 */
class LeaderLease(val term: Term, validUntilMs: Long, workedMs: Long) {
    /** Until then it is surely held. */
    @Volatile
    var validUntilMs = validUntilMs
        internal set

    /** When the leader's own loop last showed that it gets on. */
    @Volatile
    var workedMs = workedMs
        private set

    @Volatile
    internal var resignation: Resignation? = null
        private set

    internal class Resignation(val reason: String, val transferLeadership: Boolean)

    fun worked(nowMs: Long) {
        workedMs = nowMs
    }

    /** Gives the leadership up, for instance because a newer leader was seen; a [transferLeadership] lets others go first. */
    fun resign(reason: String, transferLeadership: Boolean) {
        resignation = Resignation(reason, transferLeadership)
    }
}
