package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A leader that keeps only its workers, and what its successor may do. */
class IsolatedLeaderTest : SchedulerHarness() {
    private fun answerTo(command: Input) = step(command).filter {
        it is Effect.Answer ||
            it is Effect.AnswerHeartbeat ||
            it is Effect.RefuseHeartbeat
    }.single()

    /** Without a bound its machines would run on for ever, and nobody could ever start their tasks elsewhere. */
    @Test
    fun `without state service and peers it answers machines for its grace, decides nothing, and sends users away`() {
        machines(2, validUntilMs = 1000)
        submit(jobs = 1, tasks = 2)
        at(1000 + timings.graceMs - 1)
        val answer = answerTo(Input.HeartbeatReceived(request(), report(0, sequenceNumber = 2)))
        assertTrue(answer is Effect.AnswerHeartbeat)
        val poll = answerTo(Input.Poll(request(), JobId("j-000003"))) as Effect.Answer
        val submission = answerTo(Input.Submit(request(), SimulatedCluster.job(99))) as Effect.Answer
        for (reply in listOf(poll.reply, submission.reply)) assertTrue(reply is UserReply.Unavailable && reply.retryAfterS > 0)
        val decided = (1..20).flatMap { step(Input.Tick) }
        assertEquals(
            emptyList<Effect>(),
            decided.filter {
                it is Effect.Write ||
                    it is Effect.SendCommands ||
                    it is Effect.Rent ||
                    it is Effect.TerminateMachines
            },
        )
        at(1000 + timings.graceMs)
        assertTrue(answerTo(Input.HeartbeatReceived(request(), report(0, sequenceNumber = 3))) is Effect.RefuseHeartbeat)
    }
}
