package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Cancellations together with failovers, outages of the key-value store, lost commands and ends of tasks. */
class CancellationFaultsTest : CombinedFaultsHarness() {
    /**
     * The old leader's grace begins where its lease ends, which is before its successor confirms anything, and the last
     * heartbeat that it answers renews a worker's lease. Only then does a cancelled task surely stop.
     */
    @Test
    fun `grace, worker's lease and margin end before the cancellation deadline at every heartbeat interval`() {
        for (reportS in listOf(1.0, 3.0, 6.0, 10.0)) {
            for (cancelS in listOf(deployment.leaseS + 12, 64.0, 120.0)) {
                val timings = SchedulerTimings.of(deployment.copy(reportS = reportS, cancelS = cancelS))
                val stoppedByMs = timings.graceMs + deployment.leaseS * 1000 + timings.leaseMarginMs
                assertTrue(stoppedByMs < cancelS * 1000) { "$stoppedByMs ms of $cancelS s with heartbeats every $reportS s" }
            }
        }
    }

    /** In an outage that follows at once nobody may answer the machine; without the direct call only its lease would end the task. */
    @Test
    fun `a committed cancellation goes to the machine before its next heartbeat`() {
        lead()
        val (attempt) = startJob(1)
        isStoreOut = true
        val uncommitted = cancel(1)
        assertEquals(emptyList<Effect>(), uncommitted.filter { it is Effect.Answer || it is Effect.SendCommands })

        val committed = endStoreOutage()

        assertTrue(confirmsCancellation(committed))
        assertEquals(listOf(attempt), committed.stoppedAttempts())
    }

    /** The machine's incarnation isn't known yet, and a command without it would be refused. */
    @Test
    fun `a new leader probes a machine without a heartbeat yet, then sends it the cancellation`() {
        lead()
        val (attempt) = startJob(1)
        failOver()
        step(Input.MachinesListed(listOf(listedMachine(0))))

        val committed = cancel(1)

        assertTrue(confirmsCancellation(committed))
        assertEquals(listOf(machine.id), committed.probedMachines())
        assertEquals(listOf(attempt), machine.answerProbe().stoppedAttempts())
    }

    /** The stop command is lost, or the answer to it: the answer to the next heartbeat repeats it. */
    @Test
    fun `a lost stop command is repeated until the task is shown as exited`() {
        lead()
        val (attempt) = startJob(1)

        cancel(1)

        assertEquals(listOf(attempt), machine.sendHeartbeat(missesReplies = true).stoppedAttempts())
        assertEquals(listOf(attempt), machine.sendHeartbeat().stoppedAttempts())
        assertEquals(emptyList<AttemptId>(), machine.sendHeartbeat().stoppedAttempts())
    }

    /** The fencing token of the stop command shuts the delayed start out. */
    @Test
    fun `a start command delayed beyond its job's cancellation starts nothing`() {
        lead()
        val delayed = (submit(1) + runRounds(2)).directCalls().single()
        cancel(1)
        machine.sendHeartbeat()

        deliver(listOf(delayed))

        assertEquals(emptySet<AttemptId>(), machine.attempts)
    }

    /** All at once they would occupy the leader's connections. */
    @Test
    fun `the stop commands of a large job are spread over rounds, and none is left out`() {
        val fleet = fleet(150)
        lead(fleet)
        val started = submit(1, tasks = 300) { copy(kind = JobKind.SERVICE) } + runRounds(2)
        deliver(started.directCalls(), fleet)

        val atOnce = cancel(1).directCalls().size

        assertTrue(atOnce in 1..50) { "$atOnce at once" }
        assertEquals(150, atOnce + runRounds(8).directCalls().size)
    }

    @Test
    fun `a cancellation, a poll and a repeated submission that meet the end of the last task show one final state, once committed`() {
        lead()
        startJob(1)
        machine.completeTasks()
        isStoreOut = true
        val spec = SimulatedCluster.job(1, tasks = 1)

        val uncommitted = step(
            Input.HeartbeatReceived(request(), machine.heartbeat()),
            Input.Cancel(request(), spec.id),
            Input.Poll(request(), spec.id),
            Input.Submit(request(), spec),
        ).userReplies()

        assertTrue(uncommitted.none { it is UserReply.Cancelled || it is UserReply.Status && it.state == JobState.DONE }) { "$uncommitted" }
        assertEquals(JobState.DONE, (endStoreOutage().userReplies().single() as UserReply.Cancelled).state)
        failOver()
        assertEquals(JobState.DONE, statusOf(1).state)
        assertEquals(JobState.DONE, (cancel(1).userReplies().single() as UserReply.Cancelled).state)
    }

    @Test
    fun `a result that arrives after the cancellation leaves the job cancelled, also for the next leader`() {
        lead()
        startJob(1)
        isStoreOut = true
        cancel(1)
        machine.completeTasks()
        machine.sendHeartbeat()
        assertTrue(confirmsCancellation(endStoreOutage()))
        runRounds(2)

        failOver()

        assertEquals(JobState.CANCELLED, statusOf(1).state)
        assertTrue(confirmsCancellation(cancel(1)))
    }

    /** Otherwise the next leader, which knows nothing of it, would deny an answer that was given. */
    @Test
    fun `an end or a cancellation that isn't committed is answered by no leader`() {
        lead()
        startJob(1, tasks = 2)
        machine.completeTasks()
        isStoreOut = true

        val uncommitted = machine.sendHeartbeat() + cancel(1)

        assertEquals(emptyList<Effect>(), uncommitted.userAnswers())
        assertTrue(statusOf(1).state in setOf(JobState.QUEUED, JobState.RUNNING))
        failOver()
        assertTrue(statusOf(1).state in setOf(JobState.QUEUED, JobState.RUNNING))
    }
}
