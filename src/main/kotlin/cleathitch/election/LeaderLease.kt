package cleathitch.election

import cleathitch.scheduler.model.Term

/**
 * The lease of one term, shared by two event loops: [LeaderElection] renews it on a dedicated loop, and the leader records progress
 * and resigns on the controller's event loop. All times are readings of the monotonic clock, in milliseconds.
 */
class LeaderLease(val term: Term, validUntilMs: Long, electedAtMs: Long) {
    /** The time until which the lease is guaranteed to be held. */
    @Volatile
    var validUntilMs = validUntilMs
        private set

    /** When the leader's event loop last recorded progress; initially the time of the election. */
    @Volatile
    var lastProgressMs = electedAtMs
        private set

    /** The leader's resignation from the term, or null if it has not resigned. */
    @Volatile
    internal var resignation: Resignation? = null
        private set

    internal class Resignation(val reason: String, val transferLeadership: Boolean)

    /** Records that the leader's event loop made progress at [nowMs]. A leader that stops recording progress loses its term. */
    fun recordProgress(nowMs: Long) {
        lastProgressMs = nowMs
    }

    /**
     * Resigns from the term, for instance because a newer leader was observed. With [transferLeadership], this controller does not
     * campaign for some time, so that another controller wins the next term.
     */
    fun resign(reason: String, transferLeadership: Boolean) {
        resignation = Resignation(reason, transferLeadership)
    }

    internal fun recordRenewal(validUntilMs: Long) {
        this.validUntilMs = validUntilMs
    }
}
