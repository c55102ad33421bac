package cleathitch.peers

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId

/** The ways on which commands go to workers. */
interface WorkerCommandRoutes {
    /** Followers that can be reached now. */
    fun reachableFollowers(): List<String>

    /** The follower to which the machine reports, if it is known. */
    fun followerOf(machine: MachineId): String?

    /** True if the follower has taken the commands and will deliver them. */
    suspend fun toFollower(follower: String, commands: List<DeliveryMessage>): Boolean

    /** The report with which the worker answered; null if it gave no answer. */
    suspend fun toWorker(command: Effect.ToWorker): Heartbeat?
}
