package cleathitch.workers

import cleathitch.scheduler.model.MachineId

/**
 * Spreads the workers that send heartbeats to the leader over its followers, which forward heartbeats in batches.
 *
 * Each follower gets new workers at a bounded rate: one that has just started is slow, and workers that wait too long for its
 * answers would return all at once. A worker that returns soon after it was redirected couldn't reach that follower, and is
 * served by the leader itself until it is redirected to another one. Confined to the leader's event loop.
 */
class WorkerDistribution(private val heartbeatMs: Long) {
    private class Redirect(val follower: String, val atMs: Long)

    private val redirects = HashMap<MachineId, Redirect>()
    private val lastRedirectMs = HashMap<String, Long>()

    /** The follower to which [machine] is redirected, or null if the leader serves it for now. */
    fun followerFor(machine: MachineId, followers: List<String>, nowMs: Long): String? {
        if (isServedByLeader(machine, followers)) return null
        val last = redirects[machine]
        if (last != null && nowMs - last.atMs < heartbeatMs * RETRY_HEARTBEATS) return null
        val others = followers.filter { it != last?.follower }.ifEmpty { followers }
        val follower = others.minByOrNull { lastRedirectMs[it] ?: Long.MIN_VALUE }?.takeIf { mayReceiveWorker(it, nowMs) }
        if (follower != null) recordRedirect(machine, follower, nowMs)
        return follower
    }

    private fun mayReceiveWorker(follower: String, nowMs: Long) =
        nowMs - (lastRedirectMs[follower] ?: Long.MIN_VALUE / 2) >= heartbeatMs / WORKERS_PER_HEARTBEAT_PERIOD

    private fun recordRedirect(machine: MachineId, follower: String, nowMs: Long) {
        if (redirects.size > MAX_REDIRECTS) redirects.clear()
        redirects[machine] = Redirect(follower, nowMs)
        lastRedirectMs[follower] = nowMs
    }

    /** With a single follower the leader serves a share itself, since the follower alone would have more work than the leader. */
    private fun isServedByLeader(machine: MachineId, followers: List<String>) =
        followers.size == 1 && Math.floorMod(machine.hashCode(), LEADER_SHARE) == 0

    private companion object {
        /** A worker that returns within this many heartbeat periods couldn't reach the follower; after them it is redirected again. */
        const val RETRY_HEARTBEATS = 5

        /** Workers that are redirected to one follower within a heartbeat period. */
        const val WORKERS_PER_HEARTBEAT_PERIOD = 150

        /** One worker in this many stays with the leader. */
        const val LEADER_SHARE = 3

        /** Bounds the entries of terminated machines. Clearing all at once costs each present machine one redirect. */
        const val MAX_REDIRECTS = 100_000
    }
}
