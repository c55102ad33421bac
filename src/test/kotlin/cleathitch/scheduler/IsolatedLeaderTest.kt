package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A leader that still reaches its workers, but neither the key-value store nor other controllers. */
class IsolatedLeaderTest : SchedulerHarness() {
    /**
     * If it answered heartbeats without a time limit, its workers' leases would be renewed forever, and no successor could start their
     * tasks elsewhere.
     */
    @Test
    fun `a leader without a lease answers heartbeats for its grace period, decides nothing and refuses user requests`() {
        becomeLeaderWithFleet(machines = 2, leaseUntilMs = 1000)
        submitJobs(1, tasks = 2)
        advanceTo(1000 + timings.graceMs - 1)

        val heartbeat = answerTo(Input.HeartbeatReceived(request(), heartbeat(0, sequenceNumber = 2)))
        val poll = answerTo(Input.Poll(request(), JobId("j-000003"))) as Effect.Answer
        val submission = answerTo(Input.Submit(request(), SimulatedCluster.jobSpec(99))) as Effect.Answer
        val ticks = (1..20).flatMap { step(Input.Tick) }

        assertTrue(heartbeat is Effect.AnswerHeartbeat)
        for (reply in listOf(poll.reply, submission.reply)) assertTrue(reply is UserReply.Unavailable && reply.retryAfterS > 0)
        assertEquals(emptyList<Effect>(), ticks.filter(::isDecision))

        advanceTo(1000 + timings.graceMs)
        assertTrue(answerTo(Input.HeartbeatReceived(request(), heartbeat(0, sequenceNumber = 3))) is Effect.RefuseHeartbeat)
    }

    private fun answerTo(input: Input) =
        step(input).single { it is Effect.Answer || it is Effect.AnswerHeartbeat || it is Effect.RefuseHeartbeat }

    private fun isDecision(effect: Effect) = effect is Effect.Write ||
        effect is Effect.SendCommands ||
        effect is Effect.Rent ||
        effect is Effect.TerminateMachines
}
