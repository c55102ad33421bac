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
 * A scheduler with a fleet and a queue of the size of large deployments. Candidates and bytes are counted, not seconds, so that
 * the result is the same on every machine.
 */
class ScalabilityTest : SchedulerHarness() {
    @Test
    fun `a round evaluates each machine once for a placement class, however many jobs wait`() {
        assertEquals(candidatesEvaluated(machines = 1000, jobs = 10), candidatesEvaluated(machines = 1000, jobs = 400))
        assertEquals(2 * candidatesEvaluated(machines = 700, jobs = 100), candidatesEvaluated(machines = 1400, jobs = 100))
    }

    /** The store refuses a commit that exceeds a limit, each time that it is repeated, and so all that come after it. */
    @Test
    fun `no commit exceeds the key-value store's limits, with a thousand starts in a round and a job of 100,000 tasks`() {
        becomeLeaderOf(machines = 1400)

        submitJobs(300, tasks = 4)
        submitJobs(1, tasks = 100_000)
        runRounds(100)

        assertTrue(commits.sumOf { it.changes.size } > 300)
        commits.forEach(::assertWithinLimits)
    }

    @Test
    fun `changes are paced by the key-value store's budget, and an intake with budget left is written at once`() {
        becomeLeaderOf(machines = 10)
        val begin = commits.size
        submitJobs(1, tasks = 1)
        assertEquals(begin + 1, commits.size, "an intake with budget left is written at once")

        val written = commits.size
        val startMs = nowMs
        submitJobs(300, tasks = 1)
        runRounds(40)

        val changes = commits.drop(written).sumOf { it.changes.size }
        assertTrue(changes <= deployment.stateWriteRps * (nowMs - startMs + 1000) / 1000) { "$changes changes" }
    }

    /** The first heartbeat that a new leader receives from a machine may be a late copy from a machine that is long gone. */
    @Test
    fun `a machine gets tasks once it shows a fencing token of this term, not before`() {
        becomeLeader()
        sendHeartbeat(heartbeat(1, sequenceNumber = 1, FencingToken.first(3)))
        submitJobs(1, tasks = 1)
        assertTrue(runRounds(4).none { it is Effect.SendCommands })

        sendHeartbeat(heartbeat(1, sequenceNumber = 2, FencingToken.first(7)))

        assertEquals(1, runRounds(2).count { it is Effect.SendCommands })
    }

    /** The last answered heartbeat of every machine is then older than its lease; the outage doesn't count as silence. */
    @Test
    fun `after a long outage of the key-value store no machine is terminated for its silence`() {
        becomeLeaderOf(machines = 20, leaseUntilMs = 1000)
        submitJobs(20, tasks = 2)
        assertTrue(runRounds(3).any { it is Effect.SendCommands })
        runRounds(4 * 60)

        val afterOutage = step(Input.LeaseRenewed(FOREVER_MS)) + runRounds(2)

        assertEquals(emptyList<Effect>(), afterOutage.filter { it is Effect.Log && "event=termination_requested" in it.text })
        assertEquals(emptySet<MachineId>(), afterOutage.terminatedMachines())
    }

    /** Otherwise its free room, and starts that its old leader didn't deliver, wait for its next heartbeat. */
    @Test
    fun `after a failover a machine that the cloud lists is probed, and its answer is enough to place tasks there`() {
        becomeLeader()
        val heartbeat = heartbeat(1, sequenceNumber = 5, FencingToken.first(3))
        step(Input.MachinesListed(listOf(listedMachine(1).copy(ageS = 100.0))))
        assertTrue(Effect.Probe(heartbeat.machine, heartbeat.address) in runRounds(4))

        step(Input.ProbeAnswered(heartbeat))
        submitJobs(1, tasks = 1)

        assertEquals(1, runRounds(2).count { it is Effect.SendCommands })
    }

    /** What is placed there would never run, and would be found missing only when the machine counts as silent. */
    @Test
    fun `a late copy of a heartbeat doesn't revive a terminated machine`() {
        becomeLeaderOf(machines = 1)
        val terminated = runRounds(4 * 70).filterIsInstance<Effect.TerminateMachines>().first().machines
        step(Input.MachinesTerminated(terminated))

        val request = request()
        val late = step(Input.HeartbeatReceived(request, heartbeat(0, sequenceNumber = 9)))
        submitJobs(1, tasks = 1)

        assertTrue(Effect.RefuseHeartbeat(request) in late)
        assertTrue(runRounds(4).none { it is Effect.SendCommands })
    }

    /** Its heartbeats would keep it in the inventory for good, and what is placed there would never run. */
    @Test
    fun `a machine that never shows the fencing tokens sent to it is terminated`() {
        becomeLeaderOf(machines = 20)
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

    /** How many machines the first round that places anything looks at. */
    private fun candidatesEvaluated(machines: Int, jobs: Int): Long {
        val fresh = ScalabilityTest()
        fresh.becomeLeaderOf(machines)
        fresh.submitJobs(jobs, tasks = 2)
        val before = fresh.scheduler.candidatesEvaluated
        // The first round waits until the intakes are written, which the budget of changes spreads.
        repeat(200) { if (fresh.scheduler.candidatesEvaluated == before) fresh.runRounds(1) }
        return fresh.scheduler.candidatesEvaluated - before
    }

    private fun assertWithinLimits(commit: Commit) {
        val values = commit.changes.filterIsInstance<Mutation.Put>().flatMap { LogCodec.encode(it.value, it.parts) }
        val operations = values.size + commit.changes.count { it is Mutation.Delete }
        assertTrue(operations <= deployment.stateTxnOps) { "$operations operations" }
        values.forEach { assertTrue(it.toString().length <= deployment.stateValueBytes) { "a value of ${it.toString().length}" } }
        val bytes = values.sumOf { it.toString().length + KEY_BYTES }
        assertTrue(bytes <= MAX_COMMIT_BYTES) { "$bytes bytes" }
    }

    private companion object {
        /** An upper bound on a key and what surrounds it in a request. */
        const val KEY_BYTES = 80
        const val MAX_COMMIT_BYTES = 65_536
    }
}
