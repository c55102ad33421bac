package cleathitch.formats

import cleathitch.peers.DeliveryMessage
import cleathitch.peers.DeliveryResultMessage
import cleathitch.peers.FullHeartbeatMessage
import cleathitch.peers.HeartbeatDecisionMessage
import cleathitch.peers.JobStatusMessage
import cleathitch.peers.PeerCodec
import cleathitch.peers.PeerReply
import cleathitch.peers.PeerRequest
import cleathitch.peers.TaskStatusMessage
import cleathitch.peers.UnchangedHeartbeatMessage
import cleathitch.peers.WorkerCommandMessage
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskState
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Messages between controllers are encoded to, and decoded from, the bytes in the golden files. */
class PeerFormatTest {
    private val job = JobId("j-000412")
    private val machine = MachineId("vm-000017")
    private val body = byteArrayOf(-127, 1, 2)
    private val tasks = TaskState.entries.mapIndexed { index, state -> TaskStatusMessage(job, index, 40L + index, state, null, false) } +
        ExitReason.entries.mapIndexed { index, reason -> TaskStatusMessage(job, index, 60L + index, TaskState.EXITED, reason, true) }
    private val heartbeat = FullHeartbeatMessage(machine, "10.1.0.7:9000", "m4", "a", true, 2, 40, 9_437_185, 4.5, tasks)
    private val heartbeatWithoutTasks = heartbeat.copy(spot = false, preemptionNoticeS = null, tasks = emptyList())
    private val unchangedHeartbeats =
        listOf(UnchangedHeartbeatMessage(machine, 2, 41, 9_437_185, 4.5, 40), UnchangedHeartbeatMessage(machine, 2, 42, 9, null, 40))
    private val commands = WorkerCommandMessage.Kind.entries.map { WorkerCommandMessage(it, job, 3, 7, 2.5) }

    private val requests = mapOf(
        "request-leads" to PeerRequest.AnnounceLeader("n1", "n2", 812),
        "request-leads-nobody" to PeerRequest.AnnounceLeader("n1", null, 812),
        "request-images" to PeerRequest.ImageCacheHints(
            listOf("img-1", "img-2"),
            listOf(0.5, 3.25),
            listOf(PeerRequest.ImageCacheHints.MachineCache(machine, 2, listOf(1, 0))),
        ),
        "request-batch" to PeerRequest.FollowerBatch(
            "n1",
            812,
            listOf(heartbeat, heartbeatWithoutTasks),
            unchangedHeartbeats,
            listOf(job, JobId("j-7")),
            listOf(DeliveryResultMessage(5, heartbeat)),
        ),
        "request-deliver" to PeerRequest.DeliverCommands(
            "n1",
            812,
            listOf(
                DeliveryMessage(1, machine, "10.1.0.7:9000", 2, 9_437_185, commands),
                DeliveryMessage(2, machine, "10.1.0.7:9000", 0, 0, emptyList()),
            ),
        ),
    )

    private val reply = PeerReply(
        200,
        null,
        3,
        "n2",
        812,
        HeartbeatDecisionMessage.Kind.entries.map { HeartbeatDecisionMessage(it, 9_437_185, commands) },
        JobStatusMessage.Kind.entries.map { JobStatusMessage(it, 3, 1) },
    )
    private val emptyReply = PeerReply(503)

    @TestFactory
    fun `the encoding of requests is unchanged`() = requests.map { (name, request) ->
        DynamicTest.dynamicTest(name) {
            GoldenFiles.assertMatches(name, PeerCodec.encode(request))
            assertEquals(request, PeerCodec.decodeRequest(GoldenFiles.read(name)))
        }
    }

    @Test
    fun `the encoding of a forwarded user request is unchanged`() {
        GoldenFiles.assertMatches("request-user", PeerCodec.encode(PeerRequest.ForwardUserRequest("POST", "/submissions", body)))
        val decoded = PeerCodec.decodeRequest(GoldenFiles.read("request-user")) as PeerRequest.ForwardUserRequest
        assertEquals("POST" to "/submissions", decoded.method to decoded.path)
        assertArrayEquals(body, decoded.body)
    }

    @Test
    fun `the encoding of a reply with a body is unchanged`() {
        GoldenFiles.assertMatches("reply-body", PeerCodec.encode(reply.copy(body = body)))
        val decoded = PeerCodec.decodeReply(GoldenFiles.read("reply-body"))
        assertArrayEquals(body, decoded.body)
        assertEquals(reply, decoded.copy(body = null))
    }

    @Test
    fun `the encoding of a reply with only a status is unchanged`() {
        GoldenFiles.assertMatches("reply-empty", PeerCodec.encode(emptyReply))
        assertEquals(emptyReply, PeerCodec.decodeReply(GoldenFiles.read("reply-empty")))
    }
}
