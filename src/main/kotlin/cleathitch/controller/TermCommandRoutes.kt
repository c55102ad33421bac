package cleathitch.controller

import cleathitch.http.Address
import cleathitch.peers.DeliveryMessage
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerRequest
import cleathitch.peers.WorkerCommandRoutes
import cleathitch.peers.reply
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Term
import cleathitch.workers.WorkerClient

/** Sends the commands of one term to workers, through a follower or directly. */
internal class TermCommandRoutes(
    private val term: Term,
    private val member: String,
    private val contacts: FollowerContacts,
    private val peerAddresses: Map<String, Address>,
    private val client: PeerClient,
    private val workers: WorkerClient,
    private val timeoutMs: Long,
) : WorkerCommandRoutes {
    override fun reachableFollowers() = contacts.reachableFollowers()
    override fun followerOf(machine: MachineId) = contacts.followerOf(machine)

    override suspend fun sendToFollower(follower: String, commands: List<DeliveryMessage>): Boolean {
        val address = peerAddresses[follower] ?: return false
        val request = PeerRequest.DeliverCommands(member, term.revision, commands)
        return client.request(address, request, timeoutMs).reply?.status == 200
    }

    override suspend fun sendToWorker(command: Effect.ToWorker) = workers.send(command)
}
