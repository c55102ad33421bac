package cleathitch.peers

import cleathitch.http.ServiceResult
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId

/** The routes by which the leader's commands can reach workers: its followers, and a direct connection. */
interface WorkerCommandRoutes {
    /** The followers with which the leader had contact recently. */
    fun reachableFollowers(): List<String>

    /** The follower that forwards the machine's heartbeats; null if none is known. */
    fun followerOf(machine: MachineId): String?

    /** Sends [commands] to [follower]; true if it accepted them for delivery. */
    suspend fun sendToFollower(follower: String, commands: List<DeliveryMessage>): Boolean

    /** Sends [command] to the worker directly; the result is the heartbeat with which it answers. */
    suspend fun sendToWorker(command: Effect.ToWorker): ServiceResult<Heartbeat>
}
