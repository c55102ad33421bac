package cleathitch.workers

import cleathitch.scheduler.model.MachineId

/**
 * Redirects workers from the leader to its followers, which forward heartbeats in batches.
 *
 * The rate of redirects to each follower is limited, because a follower that has just started is slow. Without the limit, the
 * heartbeats of many workers would time out there, and all these workers would return to the leader at once. A worker
 * that returns soon after a redirect couldn't reach that follower; the leader serves it for a while, and then redirects it to
 * another one. Confined to the leader's event loop.
 */
class WorkerDistribution(private val heartbeatPeriodMs: Long) {
    private class Redirect(val follower: String, val atMs: Long)

    private val redirects = HashMap<MachineId, Redirect>()
    private val lastRedirectMs = HashMap<String, Long>()

    /** The follower to which to redirect [machine]; null if the leader is to answer its heartbeat. */
    fun followerFor(machine: MachineId, followers: List<String>, nowMs: Long): String? {
        if (isServedByLeader(machine, followers)) return null
        val last = redirects[machine]
        if (last != null && nowMs - last.atMs < heartbeatPeriodMs * REDIRECT_RETRY_PERIODS) return null
        val others = followers.filter { it != last?.follower }.ifEmpty { followers }
        val follower = others.minByOrNull { lastRedirectMs[it] ?: Long.MIN_VALUE }?.takeIf { isBelowRedirectRate(it, nowMs) }
        if (follower != null) recordRedirect(machine, follower, nowMs)
        return follower
    }

    private fun isBelowRedirectRate(follower: String, nowMs: Long) =
        nowMs - (lastRedirectMs[follower] ?: Long.MIN_VALUE / 2) >= heartbeatPeriodMs / REDIRECTS_PER_HEARTBEAT_PERIOD

    private fun recordRedirect(machine: MachineId, follower: String, nowMs: Long) {
        if (redirects.size > MAX_REDIRECTS) redirects.clear()
        redirects[machine] = Redirect(follower, nowMs)
        lastRedirectMs[follower] = nowMs
    }

    /** With only one follower, the leader keeps some of the workers; otherwise the follower would have more load than the leader. */
    private fun isServedByLeader(machine: MachineId, followers: List<String>) =
        followers.size == 1 && Math.floorMod(machine.hashCode(), LEADER_SHARE_DIVISOR) == 0

    private companion object {
        /**
         * A worker that returns within this many heartbeat periods after a redirect couldn't reach the follower. The leader serves it
         * until they have passed, and then redirects it again.
         */
        const val REDIRECT_RETRY_PERIODS = 5

        /** The maximum number of redirects to each follower within a heartbeat period. */
        const val REDIRECTS_PER_HEARTBEAT_PERIOD = 150

        /** With only one follower, the leader keeps one worker in this many. */
        const val LEADER_SHARE_DIVISOR = 3

        /**
         * The map of redirects is cleared when it exceeds this size, because entries of terminated machines aren't removed. Clearing it
         * costs at most one more redirect per existing machine.
         */
        const val MAX_REDIRECTS = 100_000
    }
}
