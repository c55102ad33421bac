package cleathitch.controller

import cleathitch.leader.LeaderTerm

/**
 * Whether this controller can serve requests, itself or through the leader. The load balancer waits longer after each failed
 * check before it uses a controller again. A controller therefore stays ready under transient conditions: during an election, or
 * during an outage of the key-value store that also affects the other controllers.
 */
internal class Readiness(
    private val role: ControllerRole,
    private val contacts: FollowerContacts,
    private val peerCount: Int,
    private val leaderLeaseMs: Long,
    private val monotonicMs: () -> Long,
) {
    /** The result of the load balancer's readiness check. */
    fun isReady(): Boolean = role.activeTerm?.let(::isReadyAsLeader) ?: isReadyAsFollower()

    private fun isReadyAsLeader(term: LeaderTerm): Boolean {
        val now = monotonicMs()
        if (!term.isReady) return now - term.electedAtMs < leaderLeaseMs
        return now < term.lease.validUntilMs + leaderLeaseMs || contacts.reachableFollowers().size * 2 >= peerCount
    }

    private fun isReadyAsFollower(): Boolean {
        val silentMs = monotonicMs() - (role.lastLeaderContactMs ?: return false)
        // The leader key is deleted when the leader's lease expires. If nobody holds the key, an election is in progress; if somebody
        // does, the leader is alive, but slow or separated by a network partition.
        return silentMs < leaderLeaseMs * if (role.leader == null) ELECTION_LEASES else LEADER_SILENCE_LEASES
    }

    private companion object {
        /** The time allowed for an election: one lease duration each for the old lease's expiry, the log replay and the announcement. */
        const val ELECTION_LEASES = 3

        /** A live leader announces itself within this many lease durations, even if it starts slowly. */
        const val LEADER_SILENCE_LEASES = 3
    }
}
