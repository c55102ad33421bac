package cleathitch.peers

import cleathitch.http.ServiceResult
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Messages between controllers that grow with the fleet or with users' work stay within the size that receivers accept. */
class PeerMessageSizeTest {
    private fun attempt(task: Int) = AttemptId(TaskId(JobId("j-" + "9".repeat(18)), task), Long.MAX_VALUE)

    private fun heartbeat(machine: Int) = Heartbeat(
        MachineId("vm-%06d".format(machine)),
        "10.0.0.1:9000",
        "m4",
        "a",
        false,
        1,
        7,
        FencingToken.first(9),
        null,
        List(TASKS_PER_MACHINE) { TaskStatus(attempt(it), TaskState.RUNNING) },
    )

    private fun assertAccepted(requests: List<PeerRequest>) {
        val sizes = requests.map { PeerCodec.encode(it).size }
        assertTrue(sizes.all { it <= PeerClient.MAX_BODY_BYTES }) { "$sizes bytes, limit ${PeerClient.MAX_BODY_BYTES}" }
    }

    /** Every message held the images of the whole fleet, so none was accepted once users had used enough images. */
    @Test
    fun `image cache hints are accepted, however many images the fleet holds`() {
        val caches = (0 until 4000).associate { machine ->
            val images = (0 until 20).associate { "image-$machine-$it".padEnd(100, 'x') to 1.0 }
            MachineId("vm-%06d".format(machine)) to ImageCache(1, images)
        }
        val messages = PeerRequest.ImageCacheHints.of(caches)
        assertAccepted(messages)
        assertEquals(caches, messages.map { it.toImageCaches() }.reduce { all, next -> all + next })
    }

    /** The starts of a large array were refused by the follower; the leader then sent each of them over a connection of its own. */
    @Test
    fun `commands for many machines with many tasks each are accepted by a follower`() = runBlocking {
        val sent = ArrayList<PeerRequest>()
        val routes = object : WorkerCommandRoutes {
            override fun reachableFollowers() = listOf("n1")
            override fun followerOf(machine: MachineId) = "n1"
            override suspend fun sendToFollower(follower: String, commands: List<DeliveryMessage>): Boolean =
                sent.add(PeerRequest.DeliverCommands("n0", 9, commands))

            override suspend fun sendToWorker(command: Effect.ToWorker): ServiceResult<Heartbeat> = error("sent directly: $command")
        }
        val delivery = WorkerCommandDelivery(routes, resultTimeoutMs = 1000, { 0 }, {})
        val commands = List(MACHINES) { machine ->
            val starts = List(TASKS_PER_MACHINE) { WorkerCommand.Start(attempt(it)) }
            Effect.SendCommands(MachineId("vm-%06d".format(machine)), "10.0.0.1:9000", 1, FencingToken.first(9), starts)
        }
        async { delivery.deliver(this, commands) }.await()
        while (sent.sumOf { (it as PeerRequest.DeliverCommands).commands.size } < MACHINES) kotlinx.coroutines.yield()
        assertAccepted(sent)
    }

    /** A batch that was too large was taken for a leader that can't be reached, and users of that follower got 503. */
    @Test
    fun `results of delivered commands are accepted by the leader, and all of them arrive`() = runBlocking {
        val batches = ArrayList<OutgoingBatch>()
        val batcher = LeaderBatcher(0, 1000, { 0 }, { KnownLeader("n0", 9) }) { _, batch, _ ->
            batches += batch
            BatchResult.Answered(emptyList(), emptyList())
        }
        repeat(MACHINES) { batcher.forwardDeliveryResult(DeliveryResult(9, it.toLong(), heartbeat(it))) }
        val running = async { batcher.run() }
        while (batches.sumOf { it.deliveryResults.size } < MACHINES) kotlinx.coroutines.yield()
        running.cancel()
        assertAccepted(batches.map { PeerRequest.FollowerBatch.of("n1", it) })
    }

    @Test
    fun `a leader that rejects a batch counts as reachable`() = runBlocking {
        val batcher = LeaderBatcher(0, 1000, { 0 }, { KnownLeader("n0", 9) }) { _, _, _ -> BatchResult.Rejected }
        val running = async { batcher.run() }
        batcher.forwardPoll(JobId("j-1"))
        running.cancel()
        assertFalse(batcher.isLeaderUnreachable)
    }

    private companion object {
        const val MACHINES = 100
        const val TASKS_PER_MACHINE = 500
    }
}
