package cleathitch.workers

import cleathitch.scheduler.model.MachineId

/**
 * Spreads the workers that come to the leader over its followers, which take reports in and hand them on.
 *
 * Each follower gets new workers at a bounded pace: one that has just started is slow, and workers that wait too long for
 * its answers would come back all at once. A worker that comes back soon after it was sent away couldn't reach that
 * follower, and is served by the leader itself until it is sent to another one.
 */
class WorkerDistribution(private val reportMs: Long) {
    private class Sent(val follower: String, val atMs: Long)

    private val sent = HashMap<MachineId, Sent>()
    private val lastSentMs = HashMap<String, Long>()

    /** The follower that should serve [machine], or null if the leader should for now. */
    fun followerFor(machine: MachineId, followers: List<String>, nowMs: Long): String? {
        if (keepsWith(machine, followers)) return null
        val last = sent[machine]
        if (last != null && nowMs - last.atMs < reportMs * RETRY_REPORTS) return null
        val others = followers.filter { it != last?.follower }.ifEmpty { followers }
        val follower = others.minByOrNull { lastSentMs[it] ?: Long.MIN_VALUE } ?: return null
        if (nowMs - (lastSentMs[follower] ?: Long.MIN_VALUE / 2) < reportMs / WORKERS_PER_REPORT) return null
        if (sent.size > MAX_SENT) sent.clear()
        sent[machine] = Sent(follower, nowMs)
        lastSentMs[follower] = nowMs
        return follower
    }

    /** With a single follower the leader takes a part itself, since the follower alone would do more than the leader. */
    private fun keepsWith(machine: MachineId, followers: List<String>) =
        followers.size == 1 && Math.floorMod(machine.hashCode(), KEPT_PART) == 0

    private companion object {
        /** A worker that comes back within so many report periods couldn't reach the follower; then it tries again. */
        const val RETRY_REPORTS = 5

        /** So many workers are sent to a follower within a report period. */
        const val WORKERS_PER_REPORT = 150

        const val KEPT_PART = 3

        /** Machines come and go; forgetting the gone ones all at once costs the present ones one redirect. */
        const val MAX_SENT = 100_000
    }
}
