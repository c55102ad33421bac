package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.StoreLimits
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A key-value store whose limits become lower than the settings say, and one that doesn't answer commits. */
class RejectedCommitTest : SchedulerHarness() {
    private lateinit var machines: List<FakeMachine>
    private val machinesById by lazy { machines.associateBy { it.id } }
    private val unaccepted = LinkedHashMap<Int, JobSpec>()
    private var stepDowns = 0

    /** A commit over lowered limits was repeated for good: jobs that were accepted before stood still beside idle machines. */
    @Test
    fun `jobs are accepted and finish after the store has lowered its limits while commits are under way`() {
        start()
        submit(1..40, tasks = 20)
        run(rounds = 10)
        storeLimits = LOWERED
        submit(41..80, tasks = 20)
        // Far more rounds than the tasks need at the rate that the lowered limits permit.
        repeat(40) {
            run(rounds = 20)
            machines.forEach { it.completeTasks() }
        }
        assertEquals(emptyList<Int>(), (1..80).filter { stateOf(it) != JobState.DONE })
        assertTrue(stepDowns <= MAX_STEP_DOWNS) { "$stepDowns terms ended" }
    }

    @Test
    fun `limits that were lowered for a while are used in full again`() {
        start()
        storeLimits = LOWERED
        submit(1..40, tasks = 20)
        run(rounds = 80)
        assertTrue(storeHealth.isReduced)
        storeLimits = deployment.storeLimits
        run(rounds = 600)
        assertEquals(deployment.storeLimits, storeHealth.limits)
    }

    /** The other controllers may fare no better, and an election each few seconds would make it worse. */
    @Test
    fun `a leader whose commit gets no answer while its lease is renewed hands over once`() {
        start(leaseUntilMs = LEASE_MS)
        isStoreUnavailable = true
        submit(1..1, tasks = 1)
        submitUnaccepted()
        assertEquals(listOf(true), runRoundsWithRenewals(HANDOVER_ROUNDS).map { it.transferLeadership })
        failOver(leaseUntilMs = nowMs + LEASE_MS)
        isStoreUnavailable = true
        submit(1..1, tasks = 1)
        submitUnaccepted()
        assertEquals(emptyList<Effect.StepDown>(), runRoundsWithRenewals(HANDOVER_ROUNDS))
    }

    /** An outage of the store ends commits and lease alike, and says nothing about the commit. */
    @Test
    fun `a leader counts only time in which its lease was renewed`() {
        start(leaseUntilMs = LEASE_MS)
        isStoreUnavailable = true
        submit(1..1, tasks = 1)
        submitUnaccepted()
        assertEquals(emptyList<Effect.StepDown>(), runRounds(HANDOVER_ROUNDS).stepDowns())
        assertEquals(emptyList<Effect.StepDown>(), runRoundsWithRenewals(count = 20))
        assertEquals(1, runRoundsWithRenewals(HANDOVER_ROUNDS).size)
    }

    private fun runRoundsWithRenewals(count: Int): List<Effect.StepDown> = List(count) {
        step(Input.LeaseRenewed(nowMs + LEASE_MS)) + runRounds(1)
    }.flatten().stepDowns()

    private fun start(leaseUntilMs: Long = NO_EXPIRY_MS) {
        becomeLeaderWithFleet(MACHINES, leaseUntilMs)
        machines = List(MACHINES) { FakeMachine(heartbeat(it)) }
        run(rounds = 4)
    }

    /** Has the jobs submitted in each round until they are accepted, as users do. */
    private fun submit(jobs: IntRange, tasks: Int) = jobs.forEach { job ->
        unaccepted[job] = SimulatedCluster.jobSpec(job, tasks = tasks).copy(cpus = CPUS_PER_TASK, memoryGb = CPUS_PER_TASK)
    }

    private fun submitUnaccepted() = unaccepted.values.toList().forEach { spec ->
        val effects = handle(Input.Submit(request(), spec))
        if (effects.userReplies().any { it is UserReply.Accepted }) unaccepted.values.remove(spec)
    }

    private fun stateOf(job: Int) =
        step(Input.Poll(request(), JobId("j-%06d".format(job)))).userReplies().filterIsInstance<UserReply.Status>().singleOrNull()?.state

    private fun run(rounds: Int) = repeat(rounds) { round ->
        submitUnaccepted()
        advanceTo(nowMs + timings.roundPeriodMs)
        handle(Input.Tick)
        if (round % roundsPerHeartbeat == 0) machines.forEach { handle(Input.HeartbeatReceived(request(), it.heartbeat()), it) }
    }

    /** Passes [input] to the leader, and lets a successor take over if that ends its term. */
    private fun handle(input: Input, sender: FakeMachine? = null): List<Effect> {
        val effects = step(input)
        effects.directCalls().forEach { machinesById.getValue(it.machine).receive(it) }
        effects.heartbeatAnswers().forEach { sender?.receive(it) }
        if (effects.stepDowns().isNotEmpty()) {
            stepDowns++
            failOver()
        }
        return effects
    }

    private companion object {
        /** The lowest limits of a deployment: those to which a store changes while the settings say 16 KiB and 32 operations. */
        val LOWERED = StoreLimits(StoreLimits.MAX_TRANSACTION_BYTES, valueBytes = 2048, operations = 10)
        const val LEASE_MS = 5000L
        const val MACHINES = 40
        const val CPUS_PER_TASK = 0.25
        const val MAX_STEP_DOWNS = 4

        /** Three times the time after which a leader without answers hands over. */
        const val HANDOVER_ROUNDS = 100
    }
}
