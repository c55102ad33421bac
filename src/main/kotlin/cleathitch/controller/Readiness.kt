package cleathitch.controller

import cleathitch.leader.LeaderTerm

/**
 * Whether requests can be served, here or through the leader. The load balancer takes ever longer to come back to a
 * controller that was not ready, so what passes by itself doesn't count: an election, and an outage of the key-value store
 * that the peers see, too.
 */
internal class Readiness(
    private val role: ControllerRole,
    private val contacts: FollowerContacts,
    private val peerCount: Int,
    private val leaderLeaseMs: Long,
    private val steadyMs: () -> Long,
) {
    /** The answer to the load balancer. */
    fun isReady(): Boolean = role.activeTerm?.let(::isReadyAsLeader) ?: isReadyAsFollower()

    private fun isReadyAsLeader(term: LeaderTerm): Boolean {
        val now = steadyMs()
        if (!term.isReady) return now - term.electedAtMs < leaderLeaseMs
        return now < term.lease.validUntilMs + leaderLeaseMs || contacts.reachableFollowers().size * 2 >= peerCount
    }

    private fun isReadyAsFollower(): Boolean {
        val silentMs = steadyMs() - (role.leaderContactMs ?: return false)
        // A dead leader's key goes with its lease. While the key stands, the leader lives: it is slow, or a partition hides it.
        return silentMs < leaderLeaseMs * if (role.leader == null) ELECTION_LEASES else SILENT_LEASES
    }

    private companion object {
        /** How many leases an election takes: one for the lease's expiry, one for the replay, one for the announcement. */
        const val ELECTION_LEASES = 3

        /** After so many leases without contact, a leader that lives would have announced itself, however slow its start. */
        const val SILENT_LEASES = 3
    }
}
