package cleathitch.controller

import cleathitch.scheduler.model.MachineId

/**
 * The leader's view of its followers: the time of the last contact with each, and the follower that forwarded each machine's
 * last heartbeat. Confined to the controller's event loop.
 */
internal class FollowerContacts(private val monotonicMs: () -> Long, private val reachableMs: Long) {
    private val lastContactMs = HashMap<String, Long>()
    private val followerByMachine = HashMap<MachineId, String>()

    /** Records that [follower] sent a request or an answer just now. */
    fun recordContact(follower: String) {
        lastContactMs[follower] = monotonicMs()
    }

    /** The followers whose last contact was less than [reachableMs] ago. */
    fun reachableFollowers(): List<String> {
        val now = monotonicMs()
        return lastContactMs.filterValues { now - it < reachableMs }.keys.toList()
    }

    /** Whether the last contact with [follower] was less than [withinMs] ago. */
    fun hadContact(follower: String, withinMs: Long): Boolean {
        val contactMs = lastContactMs[follower] ?: return false
        return monotonicMs() - contactMs < withinMs
    }

    /** Records that [follower] forwarded heartbeats of [machines]. */
    fun recordHeartbeats(follower: String, machines: List<MachineId>) {
        if (followerByMachine.size > MAX_MACHINES) followerByMachine.clear()
        machines.forEach { followerByMachine[it] = follower }
    }

    /** The follower that forwarded the machine's last heartbeat; null if none is recorded. */
    fun followerOf(machine: MachineId): String? = followerByMachine[machine]

    private companion object {
        /**
         * The map is cleared when it exceeds this size, because entries of terminated machines aren't removed. Existing machines are
         * recorded again with their next heartbeats.
         */
        const val MAX_MACHINES = 10_000
    }
}
