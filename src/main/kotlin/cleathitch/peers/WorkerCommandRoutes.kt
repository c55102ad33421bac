package cleathitch.peers

import cleathitch.http.ServiceResult
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId

/** The routes on which the leader's commands can reach workers. */
interface WorkerCommandRoutes {
    /** Followers from which the leader has had a sign of life lately. */
    fun reachableFollowers(): List<String>

    /** The follower that forwards the machine's heartbeats; null if none does. */
    fun followerOf(machine: MachineId): String?

    /** Hands [commands] to [follower]; true if it has taken them and will deliver them. */
    suspend fun toFollower(follower: String, commands: List<DeliveryMessage>): Boolean

    /** Calls the worker directly; the result is the heartbeat with which it answers. */
    suspend fun toWorker(command: Effect.ToWorker): ServiceResult<Heartbeat>
}
