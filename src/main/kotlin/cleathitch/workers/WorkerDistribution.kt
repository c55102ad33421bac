package cleathitch.workers

import cleathitch.core.MachineId

/**
 * Spreads the workers that come to the leader over its followers, which take reports in and hand them on.
 *
 * A worker that comes back soon after it was sent away couldn't reach that follower, and is served by the leader
 * itself until it is sent to another one.
 */
class WorkerDistribution(private val reportMs: Long) {
    private class Sent(val follower: String, val atMs: Long)

    private val sent = HashMap<MachineId, Sent>()
    private var next = 0

    /** The follower that should serve [machine], or null if the leader should. */
    fun followerFor(machine: MachineId, followers: List<String>, nowMs: Long): String? {
        if (followers.isEmpty() || keepsWith(machine, followers)) return null
        val last = sent[machine]
        if (last != null && nowMs - last.atMs < reportMs * RETRY_REPORTS) return null
        if (sent.size > MOST_SENT) sent.clear()
        val others = followers.filter { it != last?.follower }.ifEmpty { followers }
        val follower = others[next++ % others.size]
        sent[machine] = Sent(follower, nowMs)
        return follower
    }

    /** With a single follower the leader takes a part itself, since the follower alone would do more than the leader. */
    private fun keepsWith(machine: MachineId, followers: List<String>) =
        followers.size == 1 && Math.floorMod(machine.hashCode(), KEPT_PART) == 0

    private companion object {
        /** A worker that comes back within so many report periods couldn't reach the follower; then it tries again. */
        const val RETRY_REPORTS = 5

        const val KEPT_PART = 3

        /** Machines come and go; forgetting the gone ones all at once costs the present ones one redirect. */
        const val MOST_SENT = 100_000
    }
}
