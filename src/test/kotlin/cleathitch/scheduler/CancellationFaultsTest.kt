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

/** Cancellations combined with failovers, outages of the key-value store, lost commands and completing tasks. */
class CancellationFaultsTest : CombinedFaultsHarness() {
    /**
     * A successor can confirm a cancellation only after the earlier leader's lease has expired, that is, after that leader's grace
     * period began. At the end of its grace period the earlier leader may answer a heartbeat and so renew the worker's lease. A
     * cancelled task has certainly stopped only when the worker's lease has expired too.
     */
    @Test
    fun `grace period, worker lease and margin end before the cancellation deadline at every heartbeat period`() {
        for (heartbeatPeriodS in listOf(1.0, 3.0, 6.0, 10.0)) {
            for (cancellationDeadlineS in listOf(deployment.workerLeaseS + 12, 64.0, 120.0)) {
                val timings = SchedulerTimings.of(
                    deployment.copy(heartbeatPeriodS = heartbeatPeriodS, cancellationDeadlineS = cancellationDeadlineS),
                )
                val stoppedByMs = timings.graceMs + deployment.workerLeaseS * 1000 + timings.leaseMarginMs
                assertTrue(stoppedByMs < cancellationDeadlineS * 1000) {
                    "tasks stop after $stoppedByMs ms with report_s=$heartbeatPeriodS cancel_s=$cancellationDeadlineS"
                }
            }
        }
    }

    /**
     * If the key-value store fails right after the commit, it is possible that no controller answers the machine's heartbeats.
     * Without the direct call the task would then run until the worker's lease expires.
     */
    @Test
    fun `a committed cancellation is sent to the machine before its next heartbeat`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)
        isStoreUnavailable = true
        val uncommitted = cancel(1)
        assertEquals(emptyList<Effect>(), uncommitted.filter { it is Effect.Answer || it is Effect.SendCommands })

        val committed = endStoreOutage()

        assertTrue(confirmsCancellation(committed))
        assertEquals(listOf(attempt), committed.stoppedAttempts())
    }

    /** The new leader doesn't know the machine's incarnation yet, and the worker would reject a command without it. */
    @Test
    fun `a new leader probes a machine that hasn't sent a heartbeat yet, then sends it the cancellation`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)
        failOver()
        step(Input.MachinesListed(listOf(listedMachine(0))))

        val committed = cancel(1)

        assertTrue(confirmsCancellation(committed))
        assertEquals(listOf(machine.id), committed.probedMachines())
        assertEquals(listOf(attempt), machine.answerProbe().stoppedAttempts())
    }

    /** If the stop command or the response to it is lost, the answer to the next heartbeat repeats the command. */
    @Test
    fun `a lost stop command is repeated until a heartbeat reports the task as exited`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)

        cancel(1)

        assertEquals(listOf(attempt), machine.sendHeartbeat(missesReplies = true).stoppedAttempts())
        assertEquals(listOf(attempt), machine.sendHeartbeat().stoppedAttempts())
        assertEquals(emptyList<AttemptId>(), machine.sendHeartbeat().stoppedAttempts())
    }

    /** The delayed start command has an older fencing token than the stop command, so the worker rejects it. */
    @Test
    fun `a start command that arrives after its job's cancellation starts nothing`() {
        becomeLeaderWithFleet()
        val delayedCall = (submit(1) + runRounds(2)).directCalls().single()
        cancel(1)
        machine.sendHeartbeat()

        deliver(listOf(delayedCall))

        assertEquals(emptySet<AttemptId>(), machine.attempts)
    }

    /** Sent all at once, the stop commands would occupy the leader's connections to workers. */
    @Test
    fun `the stop commands of a large job are spread over rounds, and all are sent`() {
        val fleet = fleet(150)
        becomeLeaderWithFleet(fleet)
        val started = submit(1, tasks = 300) { copy(kind = JobKind.SERVICE) } + runRounds(2)
        deliver(started.directCalls(), fleet)

        val sentAtOnce = cancel(1).directCalls().size

        assertTrue(sentAtOnce in 1..50) { "expected 1 to 50 stop commands at once, got $sentAtOnce" }
        assertEquals(150, sentAtOnce + runRounds(8).directCalls().size)
    }

    @Test
    fun `a cancellation, poll or submission in one batch with its job's last completion reports the job as done only after the commit`() {
        becomeLeaderWithFleet()
        startJob(1)
        machine.completeTasks()
        isStoreUnavailable = true
        val spec = SimulatedCluster.jobSpec(1, tasks = 1)

        val uncommitted = step(
            Input.HeartbeatReceived(request(), machine.heartbeat()),
            Input.Cancel(request(), spec.id),
            Input.Poll(request(), spec.id),
            Input.Submit(request(), spec),
        ).userReplies()

        assertTrue(uncommitted.none { it is UserReply.Cancelled || it is UserReply.Status && it.state == JobState.DONE }) {
            "replies before the commit: $uncommitted"
        }
        assertEquals(JobState.DONE, (endStoreOutage().userReplies().single() as UserReply.Cancelled).state)
        failOver()
        assertEquals(JobState.DONE, statusOf(1).state)
        assertEquals(JobState.DONE, (cancel(1).userReplies().single() as UserReply.Cancelled).state)
    }

    @Test
    fun `a result that arrives after the cancellation leaves the job cancelled, also under the next leader`() {
        becomeLeaderWithFleet()
        startJob(1)
        isStoreUnavailable = true
        cancel(1)
        machine.completeTasks()
        machine.sendHeartbeat()
        assertTrue(confirmsCancellation(endStoreOutage()))
        runRounds(2)

        failOver()

        assertEquals(JobState.CANCELLED, statusOf(1).state)
        assertTrue(confirmsCancellation(cancel(1)))
    }

    /** The next leader doesn't recover an uncommitted record and would contradict a reply that was based on it. */
    @Test
    fun `no leader reports a completion or a cancellation that isn't committed`() {
        becomeLeaderWithFleet()
        startJob(1, tasks = 2)
        machine.completeTasks()
        isStoreUnavailable = true

        val uncommitted = machine.sendHeartbeat() + cancel(1)

        assertEquals(emptyList<Effect>(), uncommitted.userAnswers())
        assertTrue(statusOf(1).state in setOf(JobState.QUEUED, JobState.RUNNING))
        failOver()
        assertTrue(statusOf(1).state in setOf(JobState.QUEUED, JobState.RUNNING))
    }
}
