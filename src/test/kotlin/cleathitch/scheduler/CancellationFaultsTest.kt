package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Cancellations that meet other troubles. */
class CancellationFaultsTest : CombinedFaultsHarness() {
    /**
     * Whatever comes next, a cancelled task is gone in time: the old leader's grace begins where its lease ends, which is
     * before its successor confirms anything; the last report that it answers renews a worker's lease.
     */
    @Test
    fun `grace, lease and margins end before cancelled tasks must be gone, whatever the report period`() {
        for (reportS in listOf(1.0, 3.0, 6.0, 10.0)) {
            for (cancelS in listOf(deployment.leaseS + 12, 64.0, 120.0)) {
                val timings = SchedulerTimings.of(deployment.copy(reportS = reportS, cancelS = cancelS))
                val surelyGoneMs = timings.graceMs + deployment.leaseS * 1000 + timings.leaseMarginMs
                assertTrue(surelyGoneMs < cancelS * 1000) { "$surelyGoneMs ms of $cancelS s with reports every $reportS s" }
            }
        }
    }

    /** The gap: seconds later nobody may answer any machine. Without the push only its lease would end the task. */
    @Test
    fun `a cancellation goes to the machine with its commit, before its next report`() {
        lead()
        val (attempt) = runs(1)
        stateServiceOut = true
        val asked = aborts(1)
        assertEquals(emptyList<Effect>(), asked.filter { it is Effect.Answer || it is Effect.SendCommands })
        val confirmed = stateServiceBack()
        assertTrue(cancelled(confirmed))
        assertEquals(listOf(attempt), stops(confirmed))
    }

    /** Its session isn't known yet, and an order without it would be refused: it is asked first. */
    @Test
    fun `a new leader carries a cancellation to a machine that hasn't reported to it`() {
        lead()
        val (attempt) = runs(1)
        failOver()
        step(Input.MachinesListed(listOf(listed(0))))
        val confirmed = aborts(1)
        assertTrue(cancelled(confirmed))
        assertEquals(listOf(machine.id), confirmed.filterIsInstance<Effect.Probe>().map { it.machine })
        assertEquals(listOf(attempt), stops(step(Input.ProbeAnswered(machine.shown()))))
    }

    /** The stop's answer is lost, or the stop itself: the next report's answer repeats it. */
    @Test
    fun `a stop that didn't arrive is sent again until the task is shown gone`() {
        lead()
        val (attempt) = runs(1)
        aborts(1)
        assertEquals(listOf(attempt), stops(machine.reports(missesReplies = true)))
        assertEquals(listOf(attempt), stops(machine.reports()))
        assertEquals(emptyList<AttemptId>(), stops(machine.reports()))
    }

    /**
     * The start is held up on its way, the job is cancelled, and the machine, which shows nothing of it, goes on: the
     * version of the stop shuts the start out.
     */
    @Test
    fun `a start that is still on its way when its job is cancelled starts nothing`() {
        lead()
        val late = pushes(submits(1) + settle(rounds = 2)).single()
        aborts(1)
        machine.reports()
        machine.obeys(late)
        assertEquals(emptySet<AttemptId>(), machine.tasks.keys)
    }

    /** Many machines at once: their stops go out a few at a time and don't bury the leader. */
    @Test
    fun `the stops of a large job are spread over rounds, and none is left out`() {
        val fleet = List(150) { Machine(it) }
        step(Input.LeaseRenewed(Long.MAX_VALUE / 2), Input.MachineTypesListed(listOf(type)))
        repeat(2) { fleet.forEach { it.reports() } }
        val started = submits(1, tasks = 300) { copy(kind = JobKind.SERVICE) } + settle(rounds = 2)
        pushes(started).forEach { push -> fleet.first { it.id == push.machine }.obeys(push) }
        val atOnce = pushes(aborts(1)).size
        assertTrue(atOnce in 1..50) { "$atOnce at once" }
        assertEquals(150, atOnce + pushes(settle(rounds = 8)).size)
    }

    /** In either order there is one state for good, and nothing is told before its record stands. */
    @Test
    fun `a cancellation, a question and a repeated submission meet the end of the last task`() {
        lead()
        runs(1)
        machine.ends()
        stateServiceOut = true
        val spec = SimulatedCluster.job(1, tasks = 1)
        val effects = step(
            Input.HeartbeatReceived(request(), machine.shown()),
            Input.Cancel(request(), spec.id),
            Input.Poll(request(), spec.id),
            Input.Submit(request(), spec),
        )
        val early = effects.filterIsInstance<Effect.Answer>().map { it.reply }
        assertTrue(early.none { it is UserReply.Cancelled || it is UserReply.Status && it.state == JobState.DONE }) { "$early" }
        assertEquals(JobState.DONE, (reply(stateServiceBack()) as UserReply.Cancelled).state)
        failOver()
        assertEquals(JobState.DONE, (asks(1) as UserReply.Status).state)
        assertEquals(JobState.DONE, (reply(aborts(1)) as UserReply.Cancelled).state)
    }

    @Test
    fun `a result that comes after the cancellation leaves the job cancelled, also for a successor`() {
        lead()
        runs(1)
        stateServiceOut = true
        aborts(1)
        machine.ends()
        machine.reports()
        assertTrue(cancelled(stateServiceBack()))
        settle(rounds = 2)
        failOver()
        assertEquals(JobState.CANCELLED, (asks(1) as UserReply.Status).state)
        assertTrue(cancelled(aborts(1)))
    }

    /** The record was never written: nobody was told, and the successor knows nothing of it. */
    @Test
    fun `an end or a cancellation that isn't recorded is told by nobody`() {
        lead()
        runs(1, tasks = 2)
        machine.ends()
        stateServiceOut = true
        val told = (machine.reports() + aborts(1)).filterIsInstance<Effect.Answer>()
        assertEquals(emptyList<Effect>(), told)
        assertTrue((asks(1) as UserReply.Status).state in setOf(JobState.QUEUED, JobState.RUNNING))
        failOver()
        assertTrue((asks(1) as UserReply.Status).state in setOf(JobState.QUEUED, JobState.RUNNING))
    }
}
