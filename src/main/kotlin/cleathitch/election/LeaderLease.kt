package cleathitch.election

import cleathitch.scheduler.model.Term

/**
 * The lease of one term as it is shared by two event loops: [LeaderElection] renews it on a loop of its own, and the leader reports
 * progress and resigns on the loop that does the work. All times are readings of the steady clock, in milliseconds.
 */
class LeaderLease(val term: Term, validUntilMs: Long, electedAtMs: Long) {
    /** The lease is certainly held until then. */
    @Volatile
    var validUntilMs = validUntilMs
        private set

    /** When the leader's event loop last reported progress; its election counts as such. */
    @Volatile
    var lastProgressMs = electedAtMs
        private set

    /** How the leader gave the term up, null while it hasn't. */
    @Volatile
    internal var resignation: Resignation? = null
        private set

    internal class Resignation(val reason: String, val transferLeadership: Boolean)

    /** The leader's event loop made progress at [nowMs]. A leader that stops reporting loses its term. */
    fun recordProgress(nowMs: Long) {
        lastProgressMs = nowMs
    }

    /** Gives the term up, for instance because a newer leader was seen. [transferLeadership] lets other controllers win the next one. */
    fun resign(reason: String, transferLeadership: Boolean) {
        resignation = Resignation(reason, transferLeadership)
    }

    internal fun recordRenewal(validUntilMs: Long) {
        this.validUntilMs = validUntilMs
    }
}
