package cleathitch.scheduler.machines

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId

/**
 * Notices that direct commands don't reach machines whose reports, by way of other nodes, still do.
 *
 * A machine is a witness if a direct command to it got no answer, and a report that came after that showed an answer
 * of this leader given since. So the machine runs and hears the leader through a follower: what is cut is the leader's
 * own path to the workers. Any direct command that is answered clears the suspicion.
 */
internal class DirectReachability(private val patienceMs: Long) {
    private class Unanswered(val sinceMs: Long, val answered: FencingToken)

    private val unanswered = HashMap<MachineId, Unanswered>()
    private val witnesses = HashMap<MachineId, Long>()

    /** A direct command reached its machine. */
    fun answered() {
        unanswered.clear()
        witnesses.clear()
    }

    /** A direct command to [machine] got no answer. */
    fun unanswered(machine: Machine, nowMs: Long) {
        unanswered.putIfAbsent(machine.id, Unanswered(nowMs, machine.answered))
    }

    /** A new report of [machine] arrived through a follower. */
    fun reported(machine: Machine) {
        val open = unanswered[machine.id] ?: return
        if (machine.token > open.answered) witnesses[machine.id] = open.sinceMs
    }

    /** Whether the leader's own path to the workers seems to be cut. */
    fun isCut(nowMs: Long): Boolean = witnesses.size >= FEW_WITNESSES && witnesses.values.any { nowMs - it >= patienceMs }

    private companion object {
        /** One or two machines may well lose direct commands by a fault of their own. */
        const val FEW_WITNESSES = 3
    }
}
