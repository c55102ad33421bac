package cleathitch.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A leader that keeps only its workers, and what its successor may do. */
class LonelyLeaderTest : EngineTrace() {
    private fun answerTo(command: Command) = step(command).filter {
        it is Effect.Answer ||
            it is Effect.AnswerReport ||
            it is Effect.RefuseReport
    }.single()

    /** Without a bound its machines would run on for ever, and nobody could ever start their tasks elsewhere. */
    @Test
    fun `without state service and peers it answers machines for its grace, decides nothing, and sends users away`() {
        machines(2, heldUntilMs = 1000)
        submit(jobs = 1, tasks = 2)
        at(1000 + tuning.graceMs - 1)
        val answer = answerTo(Command.Reported(request(), report(0, seq = 2)))
        assertTrue(answer is Effect.AnswerReport)
        val poll = answerTo(Command.Poll(request(), JobId("j-000003"))) as Effect.Answer
        val submission = answerTo(Command.Submit(request(), World.job(99))) as Effect.Answer
        for (reply in listOf(poll.reply, submission.reply)) assertTrue(reply is UserReply.NotNow && reply.retryAfterS > 0)
        val decided = (1..20).flatMap { step(Command.Tick) }
        assertEquals(
            emptyList<Effect>(),
            decided.filter {
                it is Effect.Write ||
                    it is Effect.Push ||
                    it is Effect.Rent ||
                    it is Effect.Return
            },
        )
        at(1000 + tuning.graceMs)
        assertTrue(answerTo(Command.Reported(request(), report(0, seq = 3))) is Effect.RefuseReport)
    }
}

/** The successor in term 9; the records say that a task was started on a machine that nobody has heard of since. */
class TakeOverTest :
    EngineTrace(
        term = 9,
        snapshot = Snapshot(
            head = Seq(5),
            records = emptyList(),
            fleet = null,
            finals = emptyList(),
            jobs = listOf(
                Snapshot.StoredJob(
                    JobCell(5, World.job(1, tasks = 1), 0, false, byteArrayOf(), listOf(LiveAttempt(0, 1, MachineId("vm-000001"))), 1),
                    parts = 1,
                ),
            ),
        ),
    ) {
    private val started = AttemptId(TaskId(JobId("j-000001"), 0), 1)

    private fun starts(effects: List<Effect>) = effects.filterIsInstance<Effect.Push>()
        .flatMap { push -> push.orders.filterIsInstance<Order.Start>().map { it.attempt to push.machine } }

    /** The old leader may have answered that machine until its grace was over, and it counts its lease from there. */
    @Test
    fun `a machine that was never heard keeps its task until grace, lease and margin are over`() {
        step(Command.LeaseHeld(Long.MAX_VALUE / 2), Command.TypesListed(listOf(type)))
        val endMs = tuning.graceMs + (deployment.leaseS * 1000).toLong() + tuning.leaseMarginMs
        var seq = 0L
        fun until(ms: Long) = buildList {
            var at = 0L
            while (at < ms) {
                addAll(step(Command.Reported(request(), report(2, ++seq))))
                addAll(settle(rounds = 8))
                at += tuning.roundMs * 8
            }
        }
        assertEquals(emptyList<Any>(), starts(until(endMs - 4000)))
        val (attempt, machine) = starts(until(8000)).single()
        assertEquals(AttemptId(started.task, 2) to MachineId("vm-000002"), attempt to machine)
    }

    /**
     * The old leader's process is back within a fraction of a second, and its order is still on its way: the same
     * attempt goes to the same machine under a version that shuts the older order out.
     */
    @Test
    fun `a start that the machine doesn't show goes to it again, as the same attempt and under the new term`() {
        step(Command.LeaseHeld(Long.MAX_VALUE / 2), Command.TypesListed(listOf(type)))
        val answer = step(
            Command.Reported(request(), report(1, seq = 4, OrderVersion.first(7))),
        ).filterIsInstance<Effect.AnswerReport>().single()
        assertEquals(listOf<Order>(Order.Start(started)), answer.orders)
        assertTrue(answer.version > OrderVersion.first(9))
    }

    /** As when an answer crosses it: a late copy shows less than was seen, and proves nothing. */
    @Test
    fun `a late copy that lacks the task ends nothing`() {
        step(Command.LeaseHeld(Long.MAX_VALUE / 2), Command.TypesListed(listOf(type)))
        val running = report(1, seq = 4, OrderVersion.first(7)).copy(tasks = listOf(ReportedTask(started, TaskState.RUNNING)))
        step(Command.Reported(request(), running))
        assertTrue(step(Command.Reported(request(), report(1, seq = 3, OrderVersion.first(7)))).any { it is Effect.RefuseReport })
        step(Command.Reported(request(), report(2)))
        assertEquals(emptyList<Any>(), starts(settle(rounds = 20)))
    }
}
