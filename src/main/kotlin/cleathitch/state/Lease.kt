package cleathitch.state

import cleathitch.core.Term

/** Told what becomes of the leadership, on the loop that keeps the lease. */
interface LeadershipListener {
    /** We lead for as long as the lease says. */
    fun elected(lease: Lease)
    fun deposed(lease: Lease, reason: String)

    /** Who leads, and in which term; with nobody, the newest revision known. */
    fun leaderIs(member: String?, term: Long)
}

/**
 * One term's lease, as both loops see it: kept on a loop of its own, used and given up where the work is done.
 */
class Lease(val term: Term, heldUntilMs: Long, workedMs: Long) {
    /** Until then it is surely held. */
    @Volatile
    var heldUntilMs = heldUntilMs
        internal set

    /** When the leader's own loop last showed that it gets on. */
    @Volatile
    var workedMs = workedMs
        private set

    @Volatile
    internal var resignation: Resignation? = null
        private set

    internal class Resignation(val reason: String, val handOver: Boolean)

    fun worked(nowMs: Long) {
        workedMs = nowMs
    }

    /** Gives the leadership up, for instance because a newer leader was seen; a [handOver] lets others go first. */
    fun resign(reason: String, handOver: Boolean) {
        resignation = Resignation(reason, handOver)
    }
}
