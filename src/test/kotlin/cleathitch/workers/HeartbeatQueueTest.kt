package cleathitch.workers

import cleathitch.peers.OutgoingBatch
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerCodec
import cleathitch.peers.PeerRequest
import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A follower answers workers only with decisions of the current leader that arrive before the timeout. */
class HeartbeatQueueTest {
    private val queue = HeartbeatQueue(answerTimeoutMs = 3000)
    private val answer = HeartbeatDecision.Answer(FencingToken.first(9).next(), emptyList())
    private val outcomes = ArrayList<ForwardOutcome>()

    private fun heartbeat(machine: Int = 1, sequenceNumber: Long = 1, incarnation: Long = 1, tasks: Int = 1) = Heartbeat(
        MachineId(
            "vm-%06d".format(machine),
        ),
        "10.1.0.7:9000", "m4", "zone-a", false, incarnation, sequenceNumber, FencingToken.first(9), null,
        List(tasks) { TaskStatus(AttemptId(TaskId(JobId("j-000412"), it), 1), TaskState.RUNNING) },
    )

    private fun add(heartbeat: Heartbeat, atMs: Long = 0) = queue.add(heartbeat, atMs) { outcomes += it }
    private fun batch(atMs: Long = 0, term: Long = 9) = queue.nextBatch(term, atMs)

    private fun message(batch: HeartbeatQueue.Batch) = PeerRequest.FollowerBatch.of("n1", OutgoingBatch(batch, emptyList(), emptyList()))

    /** Sets up the queue so that the leader of term 9 has acknowledged [heartbeat]. */
    private fun addAcknowledged(heartbeat: Heartbeat) {
        add(heartbeat)
        queue.completeWithDecisions(batch(), listOf(answer), currentTerm = 9, nowMs = 0)
        outcomes.clear()
    }

    @Test
    fun `a worker gets the leader's answer`() {
        add(heartbeat())
        queue.completeWithDecisions(batch(), listOf(answer), currentTerm = 9, nowMs = 10)
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Answered(answer.token, emptyList())), outcomes)
    }

    @Test
    fun `a heartbeat that repeats an acknowledged one is forwarded as unchanged`() {
        addAcknowledged(heartbeat(sequenceNumber = 1))
        add(heartbeat(sequenceNumber = 2))
        val forwarded = batch().heartbeats.single() as ForwardedHeartbeat.Unchanged
        assertEquals(2, forwarded.sequenceNumber)
        assertEquals(1, forwarded.baseSequenceNumber)
    }

    @Test
    fun `a heartbeat is forwarded in full if its tasks, its incarnation or the leader has changed`() {
        addAcknowledged(heartbeat(sequenceNumber = 1))
        add(heartbeat(sequenceNumber = 2, tasks = 2))
        assertTrue(batch().heartbeats.single() is ForwardedHeartbeat.Full)
        add(heartbeat(sequenceNumber = 1, incarnation = 2))
        assertTrue(batch().heartbeats.single() is ForwardedHeartbeat.Full)
        add(heartbeat(sequenceNumber = 2))
        assertTrue(batch(term = 10).heartbeats.single() is ForwardedHeartbeat.Full)
    }

    @Test
    fun `a heartbeat that follows a refused or unanswered one is forwarded in full`() {
        add(heartbeat(sequenceNumber = 1))
        queue.completeWithDecisions(batch(), listOf(HeartbeatDecision.Refuse), currentTerm = 9, nowMs = 0)
        add(heartbeat(sequenceNumber = 2))
        val undecided = batch()
        assertTrue(undecided.heartbeats.single() is ForwardedHeartbeat.Full)
        queue.completeUnanswered(undecided)
        add(heartbeat(sequenceNumber = 3))
        assertTrue(batch().heartbeats.single() is ForwardedHeartbeat.Full)
        assertEquals(List(2) { ForwardOutcome.Unanswered }, outcomes)
    }

    @Test
    fun `a heartbeat is forwarded again in full if the leader doesn't have the heartbeat that it is based on`() {
        addAcknowledged(heartbeat(sequenceNumber = 1))
        add(heartbeat(sequenceNumber = 2))
        queue.completeWithDecisions(batch(), listOf(HeartbeatDecision.RequestFull), currentTerm = 9, nowMs = 0)
        val again = batch()
        assertEquals(ForwardedHeartbeat.Full(heartbeat(sequenceNumber = 2)), again.heartbeats.single())
        queue.completeWithDecisions(again, listOf(answer), currentTerm = 9, nowMs = 0)
        assertEquals(1, outcomes.size)
    }

    /** The current leader may have committed changes that the earlier leader didn't know of when it decided. */
    @Test
    fun `decisions of an earlier leader are discarded`() {
        add(heartbeat())
        queue.completeWithDecisions(batch(), listOf(answer), currentTerm = 10, nowMs = 0)
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
    }

    /** Decisions may be late, for example if the follower's process was paused between the leader's answer and the follower's. */
    @Test
    fun `decisions after the timeout are discarded`() {
        add(heartbeat(), atMs = 0)
        queue.completeWithDecisions(batch(), listOf(answer), currentTerm = 9, nowMs = 3000)
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
    }

    @Test
    fun `heartbeats that timed out in the queue are not sent`() {
        add(heartbeat(machine = 1), atMs = 0)
        add(heartbeat(machine = 2), atMs = 2900)
        assertEquals(listOf(heartbeat(machine = 2).machine), batch(atMs = 3000).heartbeats.map { it.machine })
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
    }

    /** A worker has only one request in flight: once it sends a newer heartbeat, it no longer waits for the answer to the older one. */
    @Test
    fun `a newer heartbeat of the same machine replaces the older one`() {
        add(heartbeat(sequenceNumber = 1))
        add(heartbeat(sequenceNumber = 2))
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
        assertEquals(ForwardedHeartbeat.Full(heartbeat(sequenceNumber = 2)), batch().heartbeats.single())
        assertTrue(queue.nextBatch(9, 0).isEmpty)
    }

    @Test
    fun `an answer with too few decisions is discarded`() {
        add(heartbeat(machine = 1))
        add(heartbeat(machine = 2))
        queue.completeWithDecisions(batch(), listOf(answer), currentTerm = 9, nowMs = 0)
        assertEquals(List(2) { ForwardOutcome.Unanswered }, outcomes)
    }

    /** The fleet is one and a half times as large as the largest deployment, and all heartbeats arrive at once, each with many tasks. */
    @Test
    fun `each batch of a large fleet fits into a request body, and the batches together contain every heartbeat`() {
        val machines = 2200
        repeat(machines) { add(heartbeat(machine = it, tasks = 8)) }
        add(heartbeat(machine = machines, tasks = 900))
        val seen = HashSet<MachineId>()
        while (true) {
            val batch = queue.nextBatch(9, 0)
            if (batch.isEmpty) break
            seen += batch.heartbeats.map { it.machine }
            assertTrue(PeerCodec.encode(message(batch)).size <= PeerClient.MAX_BODY_BYTES)
            queue.completeWithDecisions(batch, batch.heartbeats.map { answer }, currentTerm = 9, nowMs = 0)
        }
        assertEquals(machines + 1, seen.size)
    }

    @Test
    fun `each heartbeat of a batch gets its own decision, whether forwarded as unchanged or in full`() {
        addAcknowledged(heartbeat(machine = 1, sequenceNumber = 1))
        val perMachine = HashMap<Int, ForwardOutcome>()
        queue.add(heartbeat(machine = 1, sequenceNumber = 2), 0) { perMachine[1] = it }
        queue.add(heartbeat(machine = 2, sequenceNumber = 1), 0) { perMachine[2] = it }
        val batch = batch()
        val received = PeerCodec.decodeRequest(PeerCodec.encode(message(batch))) as PeerRequest.FollowerBatch
        val decisions = received.toHeartbeats().map {
            if (it.machine ==
                heartbeat(machine = 1).machine
            ) {
                HeartbeatDecision.Refuse
            } else {
                answer
            }
        }
        queue.completeWithDecisions(batch, decisions, currentTerm = 9, nowMs = 0)
        assertEquals(ForwardOutcome.Unanswered, perMachine[1])
        assertTrue(perMachine[2] is ForwardOutcome.Answered)
    }
}
