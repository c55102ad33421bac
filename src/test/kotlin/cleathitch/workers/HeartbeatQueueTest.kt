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

/** What a follower tells workers, and when: nothing but what the present leader has just decided. */
class HeartbeatQueueTest {
    private val queue = HeartbeatQueue(answerWithinMs = 3000)
    private val answer = HeartbeatDecision.Answer(FencingToken.first(9).next(), emptyList())
    private val outcomes = ArrayList<ForwardOutcome>()

    private fun report(machine: Int = 1, sequenceNumber: Long = 1, incarnation: Long = 1, tasks: Int = 1) = Heartbeat(
        MachineId(
            "vm-%06d".format(machine),
        ),
        "10.1.0.7:9000", "m4", "zone-a", false, incarnation, sequenceNumber, FencingToken.first(9), null,
        List(tasks) { TaskStatus(AttemptId(TaskId(JobId("j-000412"), it), 1), TaskState.RUNNING) },
    )

    private fun add(report: Heartbeat, atMs: Long = 0) = queue.add(report, atMs) { outcomes += it }
    private fun batch(atMs: Long = 0, term: Long = 9) = queue.nextBatch(term, atMs)

    private fun message(batch: HeartbeatQueue.Batch) = PeerRequest.FollowerBatch.of("n1", OutgoingBatch(batch, emptyList(), emptyList()))

    /** The leader of term 9 has acknowledged this report. */
    private fun acknowledged(report: Heartbeat) {
        add(report)
        queue.decided(batch(), listOf(answer), currentTerm = 9, nowMs = 0)
        outcomes.clear()
    }

    @Test
    fun `a worker gets the leader's answer`() {
        add(report())
        queue.decided(batch(), listOf(answer), currentTerm = 9, nowMs = 10)
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Answered(answer.token, emptyList())), outcomes)
    }

    @Test
    fun `a report that repeats an acknowledged one goes as a heartbeat`() {
        acknowledged(report(sequenceNumber = 1))
        add(report(sequenceNumber = 2))
        val heartbeat = batch().reports.single() as ForwardedHeartbeat.Unchanged
        assertEquals(2, heartbeat.sequenceNumber)
        assertEquals(1, heartbeat.baseSequenceNumber)
    }

    @Test
    fun `other tasks, another session and another leader need the whole report`() {
        acknowledged(report(sequenceNumber = 1))
        add(report(sequenceNumber = 2, tasks = 2))
        assertTrue(batch().reports.single() is ForwardedHeartbeat.Full)
        add(report(sequenceNumber = 1, incarnation = 2))
        assertTrue(batch().reports.single() is ForwardedHeartbeat.Full)
        add(report(sequenceNumber = 2))
        assertTrue(batch(term = 10).reports.single() is ForwardedHeartbeat.Full)
    }

    @Test
    fun `what was refused or not decided is no base`() {
        add(report(sequenceNumber = 1))
        queue.decided(batch(), listOf(HeartbeatDecision.Refuse), currentTerm = 9, nowMs = 0)
        add(report(sequenceNumber = 2))
        val undecided = batch()
        assertTrue(undecided.reports.single() is ForwardedHeartbeat.Full)
        queue.unanswered(undecided)
        add(report(sequenceNumber = 3))
        assertTrue(batch().reports.single() is ForwardedHeartbeat.Full)
        assertEquals(List(2) { ForwardOutcome.Unanswered }, outcomes)
    }

    @Test
    fun `a report goes again, whole, when the leader lacks its base`() {
        acknowledged(report(sequenceNumber = 1))
        add(report(sequenceNumber = 2))
        queue.decided(batch(), listOf(HeartbeatDecision.RequestFull), currentTerm = 9, nowMs = 0)
        val again = batch()
        assertEquals(ForwardedHeartbeat.Full(report(sequenceNumber = 2)), again.reports.single())
        queue.decided(again, listOf(answer), currentTerm = 9, nowMs = 0)
        assertEquals(1, outcomes.size)
    }

    /** Between decision and answer another leader may have confirmed what the old one didn't know of. */
    @Test
    fun `decisions of a leader that was followed by another are not passed on`() {
        add(report())
        queue.decided(batch(), listOf(answer), currentTerm = 10, nowMs = 0)
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
    }

    /** As when the follower stood still between the leader's answer and its own. */
    @Test
    fun `decisions that come too late are not passed on`() {
        add(report(), atMs = 0)
        queue.decided(batch(), listOf(answer), currentTerm = 9, nowMs = 3000)
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
    }

    @Test
    fun `reports that waited too long are not sent`() {
        add(report(machine = 1), atMs = 0)
        add(report(machine = 2), atMs = 2900)
        assertEquals(listOf(report(machine = 2).machine), batch(atMs = 3000).reports.map { it.machine })
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
    }

    /** A worker has one report in flight: whoever sent the older one has given it up. */
    @Test
    fun `a newer report of the same machine takes the place of the older one`() {
        add(report(sequenceNumber = 1))
        add(report(sequenceNumber = 2))
        assertEquals(listOf<ForwardOutcome>(ForwardOutcome.Unanswered), outcomes)
        assertEquals(ForwardedHeartbeat.Full(report(sequenceNumber = 2)), batch().reports.single())
        assertTrue(queue.nextBatch(9, 0).isEmpty)
    }

    @Test
    fun `an answer with too few decisions is none`() {
        add(report(machine = 1))
        add(report(machine = 2))
        queue.decided(batch(), listOf(answer), currentTerm = 9, nowMs = 0)
        assertEquals(List(2) { ForwardOutcome.Unanswered }, outcomes)
    }

    /** Half as many machines again as the largest deployment has, all at once and full of tasks. */
    @Test
    fun `batches of a large fleet fit into a body, and every report is in one`() {
        val machines = 2200
        repeat(machines) { add(report(machine = it, tasks = 8)) }
        add(report(machine = machines, tasks = 900))
        val seen = HashSet<MachineId>()
        while (true) {
            val batch = queue.nextBatch(9, 0)
            if (batch.isEmpty) break
            seen += batch.reports.map { it.machine }
            assertTrue(PeerCodec.encode(message(batch)).size <= PeerClient.MAX_BODY)
            queue.decided(batch, batch.reports.map { answer }, currentTerm = 9, nowMs = 0)
        }
        assertEquals(machines + 1, seen.size)
    }

    @Test
    fun `heartbeats and whole reports of a batch get their own decisions`() {
        acknowledged(report(machine = 1, sequenceNumber = 1))
        val perMachine = HashMap<Int, ForwardOutcome>()
        queue.add(report(machine = 1, sequenceNumber = 2), 0) { perMachine[1] = it }
        queue.add(report(machine = 2, sequenceNumber = 1), 0) { perMachine[2] = it }
        val batch = batch()
        val received = PeerCodec.decodeRequest(PeerCodec.encode(message(batch))) as PeerRequest.FollowerBatch
        val decisions = received.toReports().map { if (it.machine == report(machine = 1).machine) HeartbeatDecision.Refuse else answer }
        queue.decided(batch, decisions, currentTerm = 9, nowMs = 0)
        assertEquals(ForwardOutcome.Unanswered, perMachine[1])
        assertTrue(perMachine[2] is ForwardOutcome.Answered)
    }
}
