package cleathitch.peers

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand
import cleathitch.workers.HeartbeatQueue
import kotlinx.serialization.SerializationException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

/** Messages between controllers are unchanged by encoding and decoding, and malformed ones are rejected. */
class PeerMessagesTest {
    private val attempt = AttemptId(TaskId(JobId("j-000412"), 3), 7)
    private val token = FencingToken.first(9).next()
    private val tasks = listOf(
        TaskStatus(attempt, TaskState.RUNNING),
        TaskStatus(attempt.copy(number = 6), TaskState.EXITED, ExitReason.STOPPED, saved = true),
    )
    private val heartbeat = Heartbeat(MachineId("vm-1"), "10.1.0.7:9000", "m4", "a", true, 2, 40, token, 4.5, tasks)
    private val commands = listOf(WorkerCommand.Start(attempt), WorkerCommand.Stop(attempt, 2.5), WorkerCommand.Forget(attempt))

    private fun batch(): PeerRequest.FollowerBatch {
        val queue = HeartbeatQueue(answerTimeoutMs = 3000)
        queue.add(heartbeat, nowMs = 0) {}
        queue.completeWithDecisions(queue.nextBatch(9, 0), listOf(HeartbeatDecision.Answer(token, commands)), currentTerm = 9, nowMs = 0)
        queue.add(heartbeat.copy(sequenceNumber = 41, preemptionNoticeS = null), nowMs = 0) {}
        queue.add(heartbeat.copy(machine = MachineId("vm-2")), nowMs = 0) {}
        val outgoing = OutgoingBatch(queue.nextBatch(9, 0), listOf(JobId("j-1"), JobId("j-2")), listOf(DeliveryResult(9, 5, heartbeat)))
        return PeerRequest.FollowerBatch.of("n1", outgoing)
    }

    private val reply = PeerReply(
        200,
        term = 9,
        decisions = listOf(
            HeartbeatDecision.Answer(token, commands),
            HeartbeatDecision.Refuse,
            HeartbeatDecision.RequestFull,
        ).map(HeartbeatDecisionMessage::of),
        statuses = listOf(UserReply.Status(JobId("j-1"), JobState.DONE, 3, 0), UserReply.NotFound).map(JobStatusMessage::of),
    )

    @Test
    fun `a batch is unchanged by encoding and decoding`() {
        val received = PeerCodec.decodeRequest(PeerCodec.encode(batch())) as PeerRequest.FollowerBatch
        assertEquals(batch(), received)
        val unchanged = ForwardedHeartbeat.Unchanged(heartbeat.machine, 2, 41, token, preemptionNoticeS = null, baseSequenceNumber = 40)
        assertEquals(listOf(ForwardedHeartbeat.Full(heartbeat.copy(machine = MachineId("vm-2"))), unchanged), received.toHeartbeats())
        assertEquals(heartbeat, received.deliveryResults.single().heartbeat.toHeartbeat())
    }

    @Test
    fun `decisions and statuses are unchanged by encoding and decoding`() {
        val received = PeerCodec.decodeReply(PeerCodec.encode(reply))
        assertEquals(
            listOf(HeartbeatDecision.Answer(token, commands), HeartbeatDecision.Refuse, HeartbeatDecision.RequestFull),
            received.decisions!!.map { it.toDecision() },
        )
        val states = JobState.entries.map { UserReply.Status(JobId("j-1"), it, 2, 1) }
        assertEquals(states, states.map { JobStatusMessage.of(it).toReply(JobId("j-1")) })
        assertEquals(UserReply.NotFound, received.statuses!![1].toReply(JobId("j-2")))
    }

    @Test
    fun `commands are unchanged by encoding and decoding`() {
        val command = Effect.SendCommands(heartbeat.machine, heartbeat.address, 2, token, commands)
        val probe = Effect.Probe(heartbeat.machine, heartbeat.address)
        val sent = PeerRequest.DeliverCommands("n1", 9, listOf(DeliveryMessage.of(1, command), DeliveryMessage.of(2, probe)))
        val received = PeerCodec.decodeRequest(PeerCodec.encode(sent)) as PeerRequest.DeliverCommands
        assertEquals(listOf(command, probe), received.commands.map { it.toCommand() })
    }

    /**
     * Callers handle only [SerializationException]. Any other exception, unless caught further up, would end the coroutine that
     * forwards heartbeats, and the follower could serve no more requests.
     */
    @Test
    fun `truncated messages of any length are rejected`() {
        val request = PeerCodec.encode(batch())
        for (size in request.indices) assertThrows(SerializationException::class.java) { PeerCodec.decodeRequest(request.copyOf(size)) }
        val answer = PeerCodec.encode(reply)
        for (size in answer.indices) assertThrows(SerializationException::class.java) { PeerCodec.decodeReply(answer.copyOf(size)) }
    }
}
