package cleathitch.election

/** Callbacks of [LeaderElection], invoked on the event loop that renews the lease. */
interface ElectionListener {
    /** This controller was elected, and leads for as long as [lease] is valid. */
    fun onElected(lease: LeaderLease)

    /** This controller no longer leads the term of [lease], for [reason]. */
    fun onTermEnded(lease: LeaderLease, reason: TermEndReason)

    /**
     * Another controller, [member], leads in [term]. [member] is null if the leader's record is malformed, or if there is no leader.
     * If there is no leader, [term] is the latest known revision of the key-value store.
     */
    fun onLeaderObserved(member: String?, term: Long)
}
