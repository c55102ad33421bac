package cleathitch.scheduler

import cleathitch.protocol.MessageCodec
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.simulation.SimulatedCluster
import cleathitch.storage.TransactionLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A job whose live attempts take more than a transaction. Sizes are only printed; to see them, run `mvn -Dtest=LargeJobTest test`. */
class LargeJobTest : SchedulerHarness() {
    private lateinit var machines: List<FakeMachine>
    private val machinesById by lazy { machines.associateBy { it.id } }

    /** A leader that built a larger commit repeated it for good: nothing was placed, accepted or cancelled any more. */
    @Test
    fun `no commit exceeds the store's limits while thousands of tasks of one job run, and other jobs finish`() {
        startLargeJob()
        assertTrue(attempts().size > LIVE_TASKS) { "only ${attempts().size} tasks run" }

        endTasks { it % 2 == 0 }
        submit(SMALL_JOB, tasks = 3)
        repeat(4) {
            run(ROUNDS_PER_COMPACTION)
            endTasks { true }
        }

        assertEquals(JobState.DONE, status(SMALL_JOB).state)
        assertNoCommitExceedsLimits()
    }

    /** A task whose start is neither in the snapshot nor in a record any more would be started a second time. */
    @Test
    fun `a leader that takes over in the middle of a compaction knows every attempt and every completed task`() {
        startLargeJob()
        repeat(TAKEOVERS) { takeover ->
            endTasks { (it + takeover) % 3 == 0 }
            // The commits of a compaction are spread over several rounds, of which each take-over happens after another one.
            run(ROUNDS_PER_COMPACTION + takeover)
            val completedBefore = status(LARGE_JOB).done
            val attemptsBefore = attempts()

            val effects = failOver() + sendHeartbeats()

            assertEquals(completedBefore, status(LARGE_JOB).done, "completed tasks after take-over $takeover")
            assertEquals(emptyList<AttemptId>(), effects.stoppedAttempts(), "running attempts that the new leader doesn't know")
            assertEquals(emptyList<AttemptId>(), effects.startedAttempts().filter { it !in attemptsBefore }, "attempts started again")
        }
        assertNoCommitExceedsLimits()
    }

    /** The starts of long tasks stay in the log, beside outdated events of short ones that would otherwise never be deleted. */
    @Test
    fun `the log of a job with long and short tasks stays bounded`() {
        startLargeJob()
        repeat(COMPACTIONS) {
            endTasks { it % 2 == 0 }
            run(ROUNDS_PER_COMPACTION)
        }
        val bytes = storedEntries().sumOf { MessageCodec.jsonBytes(it.value) }
        println("${attempts().size} live tasks, ${status(LARGE_JOB).done} done: $bytes bytes stored")
        assertTrue(bytes <= MAX_BYTES_PER_LIVE_TASK * attempts().size) { "$bytes bytes stored for ${attempts().size} live tasks" }
        assertNoCommitExceedsLimits()
    }

    /** Time and space that the largest job costs; for the size to plan for, run with `-Dlarge.job.machines=1770`. */
    @Test
    fun `a new leader replays the log of a large job that fills the fleet`() {
        val fleet = Integer.getInteger("large.job.machines", MACHINES)
        becomeLeaderWithFleet(fleet)
        machines = List(fleet) { FakeMachine(heartbeat(it)) }
        submit(LARGE_JOB, tasks = 100_000, cpus = CPUS_PER_TASK / 2)
        val firstCommit = commits.size
        val startMs = nowMs
        while (attempts().size < 2 * TASKS_PER_MACHINE * fleet) run(rounds = 1)
        val startedMs = nowMs - startMs
        val written = commits.drop(firstCommit)
        run(10 * ROUNDS_PER_COMPACTION)

        val entries = storedEntries()
        val heapBeforeMb = usedHeapMb()
        val replayStartNs = System.nanoTime()
        failOver()
        val replayMs = (System.nanoTime() - replayStartNs) / 1_000_000
        println(
            "large job, $fleet machines: ${attempts().size} tasks started in $startedMs ms, ${written.size} commits, " +
                "${written.sumOf { TransactionLimits.transaction(it).size.bytes }} bytes; then ${entries.size} entries, " +
                "${entries.sumOf {
                    MessageCodec.jsonBytes(it.value)
                }} bytes stored, replay $replayMs ms, heap $heapBeforeMb MB before, ${usedHeapMb()} MB after",
        )
        assertEquals(emptyList<AttemptId>(), sendHeartbeats().stoppedAttempts())
    }

    private fun usedHeapMb(): Long {
        repeat(2) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() } / 1_000_000
    }

    private fun startLargeJob() {
        becomeLeaderWithFleet(MACHINES)
        machines = List(MACHINES) { FakeMachine(heartbeat(it)) }
        submit(LARGE_JOB, tasks = 100_000)
        run(2 * ROUNDS_PER_COMPACTION)
    }

    private fun submit(job: Int, tasks: Int, cpus: Double = CPUS_PER_TASK) {
        val spec = SimulatedCluster.jobSpec(job, tasks = tasks).copy(cpus = cpus, memoryGb = cpus)
        step(Input.Submit(request(), spec))
    }

    private fun status(job: Int): UserReply.Status =
        step(Input.Poll(request(), JobId("j-%06d".format(job)))).userReplies().filterIsInstance<UserReply.Status>().single()

    private fun attempts(): Set<AttemptId> = machines.flatMapTo(HashSet()) { it.attempts }

    /** Ends the tasks whose index [isEnding] selects. */
    private fun endTasks(isEnding: (Int) -> Boolean) = machines.forEach { machine ->
        machine.attempts.filter { isEnding(it.task.index) }.forEach { machine.exit(it) }
    }

    /** Runs [rounds] scheduling rounds, in which machines execute commands and send their heartbeats. */
    private fun run(rounds: Int) = repeat(rounds) { round ->
        deliver(runRounds(1))
        if (round % roundsPerHeartbeat == 0) sendHeartbeats()
    }

    private fun sendHeartbeats(): List<Effect> = machines.flatMap { machine ->
        val effects = sendHeartbeat(machine.heartbeat())
        effects.heartbeatAnswers().forEach(machine::receive)
        deliver(effects)
        effects
    }

    private fun deliver(effects: List<Effect>) = effects.directCalls().forEach { call ->
        machinesById.getValue(call.machine).receive(call)
    }

    private fun assertNoCommitExceedsLimits() =
        assertEquals(emptyList<String>(), commits.mapNotNull { TransactionLimits.violation(it, deployment.storeLimits) })

    private companion object {
        const val LARGE_JOB = 1
        const val SMALL_JOB = 2
        const val MACHINES = 300

        const val TASKS_PER_MACHINE = 16
        const val CPUS_PER_TASK = 4.0 / TASKS_PER_MACHINE

        /** More live attempts than a transaction has room for. */
        const val LIVE_TASKS = 4000

        /** The rounds of a compaction period, 10 s. */
        const val ROUNDS_PER_COMPACTION = 40
        const val TAKEOVERS = 12
        const val COMPACTIONS = 20

        /** A start takes some 50 bytes; at most as many outdated events are kept, and the bits of completed tasks. */
        const val MAX_BYTES_PER_LIVE_TASK = 200
    }
}
