package cleathitch.election

/** Why [LeaderElection] ended a term. The string form is written to the log. */
sealed interface TermEndReason {
    /** The leader itself resigned, for [reason]. */
    data class Resigned(val reason: String) : TermEndReason {
        override fun toString() = reason
    }

    /** The leader's event loop recorded no progress for several lease TTLs. */
    data object Stalled : TermEndReason {
        override fun toString() = "the event loop is stalled"
    }

    /** The lease no longer exists in the key-value store. */
    data object LeaseExpired : TermEndReason {
        override fun toString() = "the lease expired"
    }
}
