package cleathitch.scheduler.machines

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId

/**
 * Detects that direct calls don't reach machines whose heartbeats still arrive through followers.
 *
 * A machine counts as reachable only through followers under two conditions: a direct call to it wasn't answered, and a later
 * heartbeat, forwarded by a follower, reports a newer token than that of the leader's last reply to it before that failure. The
 * machine is then running and connected to the leader through a follower, which indicates that the leader's own network path to
 * the workers is down. Direct contact with any machine clears the suspicion. Confined to the leader's event loop.
 */
internal class DirectReachability(private val timeoutMs: Long) {
    private class UnansweredCall(val sinceMs: Long, val lastReplyToken: FencingToken)

    private val unansweredCalls = HashMap<MachineId, UnansweredCall>()

    /** The machines reachable only through followers, with the time of the first unanswered call to each. */
    private val forwardedOnlySinceMs = HashMap<MachineId, Long>()

    /** Records that a direct call reached its machine, or that a machine reached this controller directly. */
    fun recordDirectContact() {
        unansweredCalls.clear()
        forwardedOnlySinceMs.clear()
    }

    /** Records that a direct call to [machine] wasn't answered. */
    fun recordUnansweredCall(machine: Machine, nowMs: Long) {
        unansweredCalls.putIfAbsent(machine.id, UnansweredCall(nowMs, machine.lastReplyToken))
    }

    /** Records that a new heartbeat of [machine] arrived through a follower. */
    fun recordForwardedHeartbeat(machine: Machine) {
        val call = unansweredCalls[machine.id] ?: return
        if (machine.highestSeenToken > call.lastReplyToken) forwardedOnlySinceMs[machine.id] = call.sinceMs
    }

    /** Whether the leader's own network path to the workers appears to be down. */
    fun isDirectPathDown(nowMs: Long): Boolean =
        forwardedOnlySinceMs.size >= MIN_FORWARDED_ONLY_MACHINES && forwardedOnlySinceMs.values.any { nowMs - it >= timeoutMs }

    private companion object {
        /** One or two machines may fail to answer direct calls because of faults of their own. */
        const val MIN_FORWARDED_ONLY_MACHINES = 3
    }
}
