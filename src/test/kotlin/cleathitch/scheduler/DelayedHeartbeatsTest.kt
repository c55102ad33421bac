package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.WorkerCommand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.NullSource

/**
 * The first heartbeat of a machine that a new leader receives is a delayed one. It shows an attempt as exited, or lacks it, that an
 * earlier leader has started again since then, on the same machine.
 */
class DelayedHeartbeatsTest : CombinedFaultsHarness(maxCpus = 4.0) {
    private val other = fakeMachine(2)

    /** Guards against `ran_twice`: the task was started on a second machine while it ran on the first. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = ["DONE"])
    @NullSource
    fun `a delayed heartbeat doesn't end an attempt that was started again, whatever the exit reason`(reason: ExitReason?) =
        checkNotStartedElsewhere(reason, ::sendHeartbeat)

    /** Guards against `ran_twice`, as above, on the path of heartbeats that a follower forwards. */
    @Test
    fun `a delayed heartbeat that a follower forwards doesn't end an attempt that was started again`() =
        checkNotStartedElsewhere(ExitReason.ERROR) { delayed ->
            step(Input.FollowerBatchReceived(request(), listOf(ForwardedHeartbeat.Full(delayed))))
        }

    /**
     * Guards against `ran_twice`: an earlier leader that still answers heartbeats may start the attempt again after the machine has
     * answered the new leader's probe, because the worker hasn't seen a fencing token of the new term yet.
     */
    @Test
    fun `the answer to a probe doesn't end an attempt that an earlier leader can still start again`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)
        machine.exit(attempt, ExitReason.ERROR)
        val earlierToken = machine.heartbeat().token
        failOver()

        machine.answerProbe()
        machine.expireLease()
        machine.receive(Effect.AnswerHeartbeat(RequestId(0), earlierToken, listOf(WorkerCommand.Start(attempt))))

        assertNoOtherAttempt(attempt, runPeriods(2, listOf(other)))
        assertEquals(emptyList<AttemptId>(), machine.sendHeartbeat().stoppedAttempts())
    }

    /** Guards against `quota`: the cancelled tasks still run, so they use their team's limit until the machine reports their end. */
    @Test
    fun `a delayed heartbeat doesn't free the quota of cancelled tasks that were started again`() =
        checkQuotaStaysInUse(restartInNextIncarnation(ExitReason.ERROR, tasks = 2))

    /** Guards against `quota`, as above: the delayed heartbeat was sent in the tasks' incarnation, but before they were started again. */
    @Test
    fun `a delayed heartbeat that lacks cancelled tasks doesn't free their quota`() {
        becomeLeaderWithFleet()
        val attempts = startJob(1, tasks = 2)
        expireLeaseWithoutControllers()
        val delayed = machine.heartbeat()
        startAgain(attempts)

        checkQuotaStaysInUse(delayed)
    }

    /** Guards against a lost result: results are kept outside the machine, so an old one is as good as a new one. */
    @Test
    fun `a result in a delayed heartbeat counts at once`() {
        val delayed = restartInNextIncarnation(ExitReason.DONE)
        failOver()

        sendHeartbeat(delayed)
        runRounds(1)

        assertEquals(JobState.DONE, statusOf(1).state)
    }

    /** Guards against a task that waits for ever: the exit is believed once the worker rejects the commands of earlier leaders. */
    @Test
    fun `an inherited attempt ends when the machine reports its exit together with a fencing token of the new term`() {
        val attempt = failOverAfterExit(ExitReason.ERROR)

        val beforeToken = machine.sendHeartbeat() + runRounds(1)
        val afterToken = machine.sendHeartbeat() + runPeriods(2, listOf(machine, other))

        assertNoOtherAttempt(attempt, beforeToken)
        assertEquals(setOf(AttemptId(attempt.task, 2)), afterToken.startedAttempts().toSet())
    }

    /** Guards against a needless wait: the worker has seen the first token of the term, so no earlier leader can start the attempt. */
    @Test
    fun `an inherited attempt ends at once if its exit is reported with the first fencing token of the term`() {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)
        failOver()
        machine.sendHeartbeat()
        machine.exit(attempt, ExitReason.ERROR)

        machine.sendHeartbeat(missesReplies = true)

        assertEquals(setOf(AttemptId(attempt.task, 2)), runPeriods(2, listOf(other)).startedAttempts().toSet())
    }

    /** Guards against a task that waits for ever: answers to heartbeats, which carry the fencing token, don't reach the machine. */
    @Test
    fun `an inherited attempt that has exited on a machine without heartbeats ends after a direct command`() {
        val attempt = failOverAfterExit(ExitReason.STOPPED)

        deliver(machine.answerProbe().directCalls())

        assertEquals(setOf(AttemptId(attempt.task, 2)), runPeriods(2, listOf(other)).startedAttempts().toSet())
    }

    /** Guards against a task that waits for ever: nothing is heard of the machine after the delayed heartbeat. */
    @Test
    fun `the task of a machine that died after its delayed heartbeat is started elsewhere`() {
        val delayed = restartInNextIncarnation(ExitReason.ERROR)
        val attempt = machine.attempts.single()
        failOver()
        sendHeartbeat(delayed)

        val whileSilent = runPeriods(4, listOf(other))
        val afterTermination = step(Input.MachinesTerminated(listOf(machine.id))) + runPeriods(2, listOf(other))

        assertNoOtherAttempt(attempt, whileSilent)
        assertEquals(setOf(machine.id), whileSilent.terminatedMachines())
        assertEquals(setOf(AttemptId(attempt.task, 2)), afterTermination.startedAttempts().toSet())
    }

    /** Guards against a task that waits for ever, as above: the cloud provider doesn't confirm the termination. */
    @Test
    fun `the task of a machine that died after its delayed heartbeat is started elsewhere once the lease has expired`() {
        val delayed = restartInNextIncarnation(ExitReason.ERROR)
        val attempt = machine.attempts.single()
        failOver()
        sendHeartbeat(delayed)

        val effects = runPeriods(periodsUntilLeaseExpiry + 3, listOf(other))

        assertEquals(setOf(AttemptId(attempt.task, 2)), effects.startedAttempts().toSet())
    }

    /** Guards against a task that waits for ever: the machine's heartbeats arrive, but it never reports a token of the new term. */
    @Test
    fun `the task of a machine that reports an exit and misses all replies is started elsewhere`() {
        val attempt = failOverAfterExit(ExitReason.ERROR)

        val whileMissing = (1..5).flatMap { machine.sendHeartbeat(missesReplies = true) + runPeriods(1, listOf(other)) }
        val afterTermination = step(Input.MachinesTerminated(listOf(machine.id))) + runPeriods(2, listOf(other))

        assertNoOtherAttempt(attempt, whileMissing)
        assertEquals(setOf(machine.id), whileMissing.terminatedMachines())
        assertEquals(setOf(AttemptId(attempt.task, 2)), afterTermination.startedAttempts().toSet())
    }

    /** Starts job 1 on the machine, where its task exits for [reason], and replaces the leader before the machine's next heartbeat. */
    private fun failOverAfterExit(reason: ExitReason): AttemptId {
        becomeLeaderWithFleet()
        val (attempt) = startJob(1)
        machine.exit(attempt, reason)
        failOver()
        return attempt
    }

    /** The next leader receives the delayed heartbeat through [deliver], before any other heartbeat of the machine. */
    private fun checkNotStartedElsewhere(reason: ExitReason?, deliver: (Heartbeat) -> List<Effect>) {
        val delayed = restartInNextIncarnation(reason)
        val attempt = machine.attempts.single()
        failOver()

        val effects = deliver(delayed) + runPeriods(2, listOf(other))

        assertNoOtherAttempt(attempt, effects)
        assertEquals(emptyList<AttemptId>(), machine.sendHeartbeat().stoppedAttempts())
    }

    /** The two tasks of job 1 use the team's limit. The next leader cancels them and receives [delayed]; they run until it stops them. */
    private fun checkQuotaStaysInUse(delayed: Heartbeat) {
        failOver()
        cancel(1)
        submit(2)

        val whileRunning = sendHeartbeat(delayed) + runPeriods(2, listOf(other))
        repeat(2) { machine.sendHeartbeat() }
        val afterStop = runPeriods(2, listOf(other))

        assertEquals(emptyList<AttemptId>(), whileRunning.startedAttempts())
        assertEquals(setOf(taskId(2)), afterStop.startedAttempts().mapTo(HashSet()) { it.task })
    }

    /**
     * Starts job 1 on the machine, where its tasks exit for [reason]; their worker's lease expires, and they are started again. Returns
     * the heartbeat with the exits, which no leader has received.
     */
    private fun restartInNextIncarnation(reason: ExitReason?, tasks: Int = 1): Heartbeat {
        becomeLeaderWithFleet()
        val attempts = startJob(1, tasks)
        attempts.forEach { machine.exit(it, reason) }
        val delayed = machine.heartbeat()
        expireLeaseWithoutControllers()
        startAgain(attempts)
        return delayed
    }

    /** All controllers are down for longer than the worker's lease. */
    private fun expireLeaseWithoutControllers() {
        advanceTo(nowMs + workerLeaseMs * 2)
        machine.expireLease()
    }

    /** A new leader starts [attempts] again, on the same machine. */
    private fun startAgain(attempts: List<AttemptId>) {
        failOver()
        machine.sendHeartbeat()
        assertEquals(attempts.toSet(), machine.attempts)
    }

    private fun assertNoOtherAttempt(attempt: AttemptId, effects: List<Effect>) =
        assertTrue(effects.startedAttempts().none { it.task == attempt.task && it != attempt }) { "started: ${effects.startedAttempts()}" }
}
