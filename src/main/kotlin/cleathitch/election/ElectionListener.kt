package cleathitch.election

/** Receives the events of [LeaderElection], on the event loop that keeps the lease. */
interface ElectionListener {
    /** This controller leads, for as long as [lease] is valid. */
    fun onElected(lease: LeaderLease)

    /** This controller doesn't lead the term of [lease] any more. */
    fun onDeposed(lease: LeaderLease, reason: TermEndReason)

    /** Another controller, [member], leads in [term]; or nobody does, and [term] is the newest revision known. */
    fun onLeaderObserved(member: String?, term: Long)
}
