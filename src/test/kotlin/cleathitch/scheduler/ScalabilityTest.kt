package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.MachineId
import cleathitch.storage.LogCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * A scheduler with the fleet and the queue of a large deployment. Costs are counted in candidate machines and bytes instead of seconds,
 * so that the result is the same on every computer.
 */
class ScalabilityTest : SchedulerHarness() {
    @Test
    fun `a round evaluates each machine once per placement class, however many jobs are queued`() {
        assertEquals(candidatesEvaluated(machines = 1000, jobs = 10), candidatesEvaluated(machines = 1000, jobs = 400))
        assertEquals(2 * candidatesEvaluated(machines = 700, jobs = 100), candidatesEvaluated(machines = 1400, jobs = 100))
    }

    /** The key-value store rejects an oversized commit at every retry, which blocks all later commits too. */
    @Test
    fun `no commit exceeds the key-value store's limits, with a thousand starts in a round and a job of 100,000 tasks`() {
        becomeLeaderWithFleet(machines = 1400)

        submitJobs(300, tasks = 4)
        submitJobs(1, tasks = 100_000)
        runRounds(100)

        assertTrue(commits.sumOf { it.changes.size } > 300)
        commits.forEach(::assertWithinLimits)
    }

    @Test
    fun `changes are limited to the write budget, and a submission within the budget is written at once`() {
        becomeLeaderWithFleet(machines = 10)
        val commitsBefore = commits.size
        submitJobs(1, tasks = 1)
        assertEquals(commitsBefore + 1, commits.size, "a submission within the budget is written at once")

        val commitsBeforeBurst = commits.size
        val startMs = nowMs
        submitJobs(300, tasks = 1)
        runRounds(40)

        val changes = commits.drop(commitsBeforeBurst).sumOf { it.changes.size }
        assertTrue(changes <= deployment.storeWritesPerS * (nowMs - startMs + 1000) / 1000) {
            "$changes changes in ${nowMs - startMs} ms, limit ${deployment.storeWritesPerS} per second"
        }
    }

    /** The first heartbeat that a new leader receives may be a delayed duplicate from a machine that was terminated long ago. */
    @Test
    fun `a machine gets tasks once it reports a fencing token of this term, not before`() {
        becomeLeader()
        sendHeartbeat(heartbeat(1, sequenceNumber = 1, FencingToken.first(3)))
        submitJobs(1, tasks = 1)
        assertTrue(runRounds(4).none { it is Effect.SendCommands })

        sendHeartbeat(heartbeat(1, sequenceNumber = 2, FencingToken.first(7)))

        assertEquals(1, runRounds(2).count { it is Effect.SendCommands })
    }

    /** After the outage, each machine's last answered heartbeat is older than its lease, but an outage doesn't count as silence. */
    @Test
    fun `after a long outage of the key-value store no machine is terminated as silent`() {
        becomeLeaderWithFleet(machines = 20, leaseUntilMs = 1000)
        submitJobs(20, tasks = 2)
        assertTrue(runRounds(3).any { it is Effect.SendCommands })
        runRounds(4 * 60)

        val afterOutage = step(Input.LeaseRenewed(NO_EXPIRY_MS)) + runRounds(2)

        assertEquals(emptyList<Effect>(), afterOutage.filter { it is Effect.Log && "event=termination_requested" in it.text })
        assertEquals(emptySet<MachineId>(), afterOutage.terminatedMachines())
    }

    /** Without the probe, new tasks and starts not delivered by the earlier leader would have to wait for the machine's next heartbeat. */
    @Test
    fun `after a failover a machine that the cloud provider lists is probed, and its answer suffices to place tasks there`() {
        becomeLeader()
        val heartbeat = heartbeat(1, sequenceNumber = 5, FencingToken.first(3))
        step(Input.MachinesListed(listOf(listedMachine(1).copy(ageS = 100.0))))
        assertTrue(Effect.Probe(heartbeat.machine, heartbeat.address) in runRounds(4))

        step(Input.ProbeAnswered(heartbeat))
        submitJobs(1, tasks = 1)

        assertEquals(1, runRounds(2).count { it is Effect.SendCommands })
    }

    /** Tasks placed there would never run, which would be noticed only when the machine is detected as silent. */
    @Test
    fun `a delayed duplicate of a terminated machine's heartbeat is refused, and the machine gets no tasks`() {
        becomeLeaderWithFleet(machines = 1)
        val terminated = runRounds(4 * 70).filterIsInstance<Effect.TerminateMachines>().first().machines
        step(Input.MachinesTerminated(terminated))

        val request = request()
        val staleEffects = step(Input.HeartbeatReceived(request, heartbeat(0, sequenceNumber = 9)))
        submitJobs(1, tasks = 1)

        assertTrue(Effect.RefuseHeartbeat(request) in staleEffects)
        assertTrue(runRounds(4).none { it is Effect.SendCommands })
    }

    /** Its heartbeats would keep it in the inventory forever, and tasks placed there would never run. */
    @Test
    fun `a machine that never reports the fencing tokens sent to it is terminated`() {
        becomeLeaderWithFleet(machines = 20)
        val terminated = LinkedHashSet<MachineId>()

        for (sequenceNumber in 2L..7L) {
            submitJobs(1, tasks = 1)
            for (machine in 0 until 20) {
                val token = FencingToken.first(if (machine == 0) 7 else revision)
                sendHeartbeat(heartbeat(machine, sequenceNumber, token))
            }
            terminated += runRounds(8).terminatedMachines()
        }

        assertEquals(setOf(MachineId("vm-000000")), terminated)
    }

    /** Returns the number of candidate machines evaluated in the first round that places a task. */
    private fun candidatesEvaluated(machines: Int, jobs: Int): Long {
        val harness = ScalabilityTest()
        harness.becomeLeaderWithFleet(machines)
        harness.submitJobs(jobs, tasks = 2)
        val before = harness.scheduler.candidatesEvaluated
        // The first placement waits until the submissions are written, which the write budget spreads over several rounds.
        repeat(200) { if (harness.scheduler.candidatesEvaluated == before) harness.runRounds(1) }
        return harness.scheduler.candidatesEvaluated - before
    }

    private fun assertWithinLimits(commit: Commit) {
        val values = commit.changes.filterIsInstance<Mutation.Put>().flatMap { LogCodec.encode(it.value, it.parts) }
        val operations = values.size + commit.changes.count { it is Mutation.Delete }
        assertTrue(operations <= deployment.maxTransactionOps) { "commit of $operations operations, limit ${deployment.maxTransactionOps}" }
        values.forEach {
            assertTrue(it.toString().length <= deployment.maxStoredValueBytes) {
                "value of ${it.toString().length} characters, limit ${deployment.maxStoredValueBytes}"
            }
        }
        val bytes = values.sumOf { it.toString().length + MAX_KEY_BYTES }
        assertTrue(bytes <= MAX_COMMIT_BYTES) { "commit of $bytes bytes, limit $MAX_COMMIT_BYTES" }
    }

    private companion object {
        /** An upper bound on the size of a key and its encoding overhead in a request. */
        const val MAX_KEY_BYTES = 80
        const val MAX_COMMIT_BYTES = 65_536
    }
}
