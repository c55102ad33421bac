package cleathitch.election

/** Told what becomes of the leadership, on the loop that keeps the lease. */
interface ElectionListener {
    /** We lead for as long as the lease says. */
    fun elected(lease: LeaderLease)
    fun deposed(lease: LeaderLease, reason: String)

    /** Who leads, and in which term; with nobody, the newest revision known. */
    fun leaderIs(member: String?, term: Long)
}
