package cleathitch.peers

import cleathitch.core.AttemptId
import cleathitch.core.Effect
import cleathitch.core.ExitReason
import cleathitch.core.ForwardedReport
import cleathitch.core.JobId
import cleathitch.core.MachineId
import cleathitch.core.Order
import cleathitch.core.OrderVersion
import cleathitch.core.Report
import cleathitch.core.ReportDecision
import cleathitch.core.ReportedTask
import cleathitch.core.ShownState
import cleathitch.core.TaskId
import cleathitch.core.TaskState
import cleathitch.core.UserReply
import cleathitch.workers.ReportQueue
import kotlinx.serialization.SerializationException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

/** What nodes say to each other arrives as it was sent, and what is garbled is told as such. */
class PeerMessagesTest {
    private val attempt = AttemptId(TaskId(JobId("j-000412"), 3), 7)
    private val version = OrderVersion.first(9).next()
    private val tasks = listOf(
        ReportedTask(attempt, TaskState.RUNNING),
        ReportedTask(attempt.copy(number = 6), TaskState.EXITED, ExitReason.STOPPED, saved = true),
    )
    private val report = Report(MachineId("vm-1"), "10.1.0.7:9000", "m4", "a", true, 2, 40, version, 4.5, tasks)
    private val orders = listOf(Order.Start(attempt), Order.Stop(attempt, 2.5), Order.Forget(attempt))

    private fun batch(): PeerRequest.Batch {
        val queue = ReportQueue(answerWithinMs = 3000)
        queue.add(report, nowMs = 0) {}
        queue.decided(queue.nextBatch(9, 0), listOf(ReportDecision.Answer(version, orders)), currentTerm = 9, nowMs = 0)
        queue.add(report.copy(seq = 41, noticeS = null), nowMs = 0) {}
        queue.add(report.copy(machine = MachineId("vm-2")), nowMs = 0) {}
        val outgoing = OutgoingBatch(queue.nextBatch(9, 0), listOf(JobId("j-1"), JobId("j-2")), listOf(DirectResult(9, 5, report)))
        return PeerRequest.Batch.of("n1", outgoing)
    }

    private val reply = PeerReply(
        200,
        term = 9,
        decisions = listOf(
            ReportDecision.Answer(version, orders),
            ReportDecision.Refuse,
            ReportDecision.SendWhole,
        ).map(DecisionMessage::of),
        statuses = listOf(UserReply.Status(JobId("j-1"), ShownState.DONE, 3, 0), UserReply.NotFound).map(StatusMessage::of),
    )

    @Test
    fun `a batch arrives as it was sent`() {
        val received = PeerCodec.decodeRequest(PeerCodec.encode(batch())) as PeerRequest.Batch
        assertEquals(batch(), received)
        val heartbeat = ForwardedReport.Heartbeat(report.machine, 2, 41, version, noticeS = null, baseSeq = 40)
        assertEquals(listOf(ForwardedReport.Whole(report.copy(machine = MachineId("vm-2"))), heartbeat), received.toReports())
        assertEquals(report, received.directResults.single().report.toReport())
    }

    @Test
    fun `decisions and statuses arrive as they were sent`() {
        val received = PeerCodec.decodeReply(PeerCodec.encode(reply))
        assertEquals(
            listOf(ReportDecision.Answer(version, orders), ReportDecision.Refuse, ReportDecision.SendWhole),
            received.decisions!!.map { it.toDecision() },
        )
        val states = ShownState.entries.map { UserReply.Status(JobId("j-1"), it, 2, 1) }
        assertEquals(states, states.map { StatusMessage.of(it).toReply(JobId("j-1")) })
        assertEquals(UserReply.NotFound, received.statuses!![1].toReply(JobId("j-2")))
    }

    @Test
    fun `commands arrive as they were sent`() {
        val push = Effect.Push(report.machine, report.addr, 2, version, orders)
        val inspect = Effect.Inspect(report.machine, report.addr)
        val sent = PeerRequest.Deliver("n1", 9, listOf(DirectMessage.of(1, push), DirectMessage.of(2, inspect)))
        val received = PeerCodec.decodeRequest(PeerCodec.encode(sent)) as PeerRequest.Deliver
        assertEquals(listOf(push, inspect), received.commands.map { it.toCommand() })
    }

    /** Whatever else is thrown would end the coroutine that hands the reports on, and with it a follower's service. */
    @Test
    fun `messages that are cut off are told as garbled, wherever they end`() {
        val request = PeerCodec.encode(batch())
        for (size in request.indices) assertThrows(SerializationException::class.java) { PeerCodec.decodeRequest(request.copyOf(size)) }
        val answer = PeerCodec.encode(reply)
        for (size in answer.indices) assertThrows(SerializationException::class.java) { PeerCodec.decodeReply(answer.copyOf(size)) }
    }
}
