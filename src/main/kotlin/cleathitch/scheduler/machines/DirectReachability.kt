package cleathitch.scheduler.machines

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId

/**
 * Detects that direct calls don't reach machines whose heartbeats still arrive through followers.
 *
 * A machine is a witness if a direct call to it got no answer, and a later heartbeat of it shows a reply that this leader
 * gave after that. So the machine runs and reaches the leader through a follower: the leader's own path to the workers is
 * cut. Any direct call that is answered clears the suspicion. Confined to the leader's event loop.
 */
internal class DirectReachability(private val patienceMs: Long) {
    private class UnansweredCall(val sinceMs: Long, val lastReplyToken: FencingToken)

    private val unansweredCalls = HashMap<MachineId, UnansweredCall>()

    /** Since when the direct calls to each witness go unanswered. */
    private val witnesses = HashMap<MachineId, Long>()

    /** A direct call reached its machine, or a machine reached this controller directly. */
    fun recordDirectContact() {
        unansweredCalls.clear()
        witnesses.clear()
    }

    /** A direct call to [machine] got no answer. */
    fun recordUnansweredCall(machine: Machine, nowMs: Long) {
        unansweredCalls.putIfAbsent(machine.id, UnansweredCall(nowMs, machine.lastReplyToken))
    }

    /** A new heartbeat of [machine] arrived through a follower. */
    fun recordForwardedHeartbeat(machine: Machine) {
        val call = unansweredCalls[machine.id] ?: return
        if (machine.highestSeenToken > call.lastReplyToken) witnesses[machine.id] = call.sinceMs
    }

    /** Whether the leader's own path to the workers seems to be cut. */
    fun isCut(nowMs: Long): Boolean = witnesses.size >= MIN_WITNESSES && witnesses.values.any { nowMs - it >= patienceMs }

    private companion object {
        /** One or two machines may well miss direct calls by a fault of their own. */
        const val MIN_WITNESSES = 3
    }
}
