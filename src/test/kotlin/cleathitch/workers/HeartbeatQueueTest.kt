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

/** What a follower answers workers, and when: nothing but what the present leader has just decided. */
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

    /** The leader of term 9 has acknowledged this heartbeat. */
    private fun acknowledged(heartbeat: Heartbeat) {
        add(heartbeat)
        queue.completeDecided(batch(), listOf(answer), currentTerm = 9, nowMs = 0)
        outcomes.clear()
    }

    @Test
    fun `a worker gets the leader's answer`() {
        add(heartbeat())
        queue.completeDecided(batch(), listOf(answer), currentTerm = 9, nowMs = 10)
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Answered(answer.token, emptyList())), outcomes)
    }

    @Test
    fun `a heartbeat that repeats an acknowledged one is forwarded as unchanged`() {
        acknowledged(heartbeat(sequenceNumber = 1))
        add(heartbeat(sequenceNumber = 2))
        val forwarded = batch().heartbeats.single() as ForwardedHeartbeat.Unchanged
        assertEquals(2, forwarded.sequenceNumber)
        assertEquals(1, forwarded.baseSequenceNumber)
    }

    @Test
    fun `other tasks, another incarnation and another leader need the full heartbeat`() {
        acknowledged(heartbeat(sequenceNumber = 1))
        add(heartbeat(sequenceNumber = 2, tasks = 2))
        assertTrue(batch().heartbeats.single() is ForwardedHeartbeat.Full)
        add(heartbeat(sequenceNumber = 1, incarnation = 2))
        assertTrue(batch().heartbeats.single() is ForwardedHeartbeat.Full)
        add(heartbeat(sequenceNumber = 2))
        assertTrue(batch(term = 10).heartbeats.single() is ForwardedHeartbeat.Full)
    }

    @Test
    fun `what was refused or not decided is no base`() {
        add(heartbeat(sequenceNumber = 1))
        queue.completeDecided(batch(), listOf(HeartbeatDecision.Refuse), currentTerm = 9, nowMs = 0)
        add(heartbeat(sequenceNumber = 2))
        val undecided = batch()
        assertTrue(undecided.heartbeats.single() is ForwardedHeartbeat.Full)
        queue.completeUnanswered(undecided)
        add(heartbeat(sequenceNumber = 3))
        assertTrue(batch().heartbeats.single() is ForwardedHeartbeat.Full)
        assertEquals(List(2) { ForwardOutcome.Unanswered }, outcomes)
    }

    @Test
    fun `a heartbeat goes again, in full, when the leader lacks its base`() {
        acknowledged(heartbeat(sequenceNumber = 1))
        add(heartbeat(sequenceNumber = 2))
        queue.completeDecided(batch(), listOf(HeartbeatDecision.RequestFull), currentTerm = 9, nowMs = 0)
        val again = batch()
        assertEquals(ForwardedHeartbeat.Full(heartbeat(sequenceNumber = 2)), again.heartbeats.single())
        queue.completeDecided(again, listOf(answer), currentTerm = 9, nowMs = 0)
        assertEquals(1, outcomes.size)
    }

    /** Between decision and answer another leader may have confirmed what the old one didn't know of. */
    @Test
    fun `decisions of a leader that was followed by another are not passed on`() {
        add(heartbeat())
        queue.completeDecided(batch(), listOf(answer), currentTerm = 10, nowMs = 0)
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
    }

    /** As when the follower stood still between the leader's answer and its own. */
    @Test
    fun `decisions that come too late are not passed on`() {
        add(heartbeat(), atMs = 0)
        queue.completeDecided(batch(), listOf(answer), currentTerm = 9, nowMs = 3000)
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
    }

    @Test
    fun `heartbeats that waited too long are not sent`() {
        add(heartbeat(machine = 1), atMs = 0)
        add(heartbeat(machine = 2), atMs = 2900)
        assertEquals(listOf(heartbeat(machine = 2).machine), batch(atMs = 3000).heartbeats.map { it.machine })
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
    }

    /** A worker has one heartbeat in flight: whoever sent the older one has given it up. */
    @Test
    fun `a newer heartbeat of the same machine takes the place of the older one`() {
        add(heartbeat(sequenceNumber = 1))
        add(heartbeat(sequenceNumber = 2))
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
        assertEquals(ForwardedHeartbeat.Full(heartbeat(sequenceNumber = 2)), batch().heartbeats.single())
        assertTrue(queue.nextBatch(9, 0).isEmpty)
    }

    @Test
    fun `an answer with too few decisions is none`() {
        add(heartbeat(machine = 1))
        add(heartbeat(machine = 2))
        queue.completeDecided(batch(), listOf(answer), currentTerm = 9, nowMs = 0)
        assertEquals(List(2) { ForwardOutcome.Unanswered }, outcomes)
    }

    /** Half as many machines again as the largest deployment has, all at once and full of tasks. */
    @Test
    fun `batches of a large fleet fit into a body, and every heartbeat is in one`() {
        val machines = 2200
        repeat(machines) { add(heartbeat(machine = it, tasks = 8)) }
        add(heartbeat(machine = machines, tasks = 900))
        val seen = HashSet<MachineId>()
        while (true) {
            val batch = queue.nextBatch(9, 0)
            if (batch.isEmpty) break
            seen += batch.heartbeats.map { it.machine }
            assertTrue(PeerCodec.encode(message(batch)).size <= PeerClient.MAX_BODY)
            queue.completeDecided(batch, batch.heartbeats.map { answer }, currentTerm = 9, nowMs = 0)
        }
        assertEquals(machines + 1, seen.size)
    }

    @Test
    fun `unchanged and full heartbeats of a batch get their own decisions`() {
        acknowledged(heartbeat(machine = 1, sequenceNumber = 1))
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
        queue.completeDecided(batch, decisions, currentTerm = 9, nowMs = 0)
        assertEquals(ForwardOutcome.Unanswered, perMachine[1])
        assertTrue(perMachine[2] is ForwardOutcome.Answered)
    }
}
