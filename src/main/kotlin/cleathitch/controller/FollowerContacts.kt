package cleathitch.controller

import cleathitch.scheduler.model.MachineId

/**
 * The leader's view of its followers: when each last showed that it lives, and through which one each machine sent its last
 * heartbeat. Confined to the controller's event loop.
 */
internal class FollowerContacts(private val steadyMs: () -> Long, private val reachableMs: Long) {
    private val lastContactMs = HashMap<String, Long>()
    private val followerByMachine = HashMap<MachineId, String>()

    /** The follower has just shown that it lives. */
    fun recordContact(follower: String) {
        lastContactMs[follower] = steadyMs()
    }

    /** The followers that were in contact a moment ago. */
    fun reachableFollowers(): List<String> {
        val now = steadyMs()
        return lastContactMs.filterValues { now - it < reachableMs }.keys.toList()
    }

    /** Whether the follower was in contact within the last [withinMs]. */
    fun isRecent(follower: String, withinMs: Long): Boolean {
        val contactMs = lastContactMs[follower] ?: return false
        return steadyMs() - contactMs < withinMs
    }

    /** The machines' heartbeats came through [follower]. */
    fun recordHeartbeats(follower: String, machines: List<MachineId>) {
        if (followerByMachine.size > MAX_MACHINES) followerByMachine.clear()
        machines.forEach { followerByMachine[it] = follower }
    }

    /** The follower through which the machine sent its last heartbeat, if one did. */
    fun followerOf(machine: MachineId): String? = followerByMachine[machine]

    private companion object {
        /** Machines come and go; the present ones are recorded again with their next heartbeats. */
        const val MAX_MACHINES = 10_000
    }
}
