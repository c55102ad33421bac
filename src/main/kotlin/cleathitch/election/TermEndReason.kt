package cleathitch.election

/** Why a term is over, as the loop that keeps its lease sees it. The text goes into the log. */
sealed interface TermEndReason {
    /** The leader gave the term up itself, for [reason]. */
    data class Resigned(val reason: String) : TermEndReason {
        override fun toString() = reason
    }

    /** The leader's event loop reported no progress for several lease times. */
    data object Stalled : TermEndReason {
        override fun toString() = "the event loop is stalled"
    }

    /** The key-value store doesn't know the lease any more. */
    data object LeaseExpired : TermEndReason {
        override fun toString() = "the lease expired"
    }
}
