package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.ListedMachine
import cleathitch.scheduler.model.ListedState
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Offer
import cleathitch.storage.LogCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * One engine with a fleet and a queue of the size of large deployments. What is counted are looks and
 * bytes, not seconds, so that the verdict is the same each time.
 */
class ScalabilityTest : SchedulerHarness() {
    private fun looksFor(machines: Int, jobs: Int): Long {
        val fresh = ScalabilityTest()
        fresh.machines(machines)
        fresh.submit(jobs, tasks = 2)
        val before = fresh.scheduler.candidatesEvaluated
        // The first round waits until the intakes are written, which the budget of changes spreads.
        repeat(200) { if (fresh.scheduler.candidatesEvaluated == before) fresh.settle(rounds = 1) }
        return fresh.scheduler.candidatesEvaluated - before
    }

    /** Once each task was weighed against each machine. */
    @Test
    fun `a round looks once at each machine for a class, however many jobs wait`() {
        assertEquals(looksFor(1000, 10), looksFor(1000, 400))
        assertEquals(2 * looksFor(700, 100), looksFor(1400, 100))
    }

    /** A limit passed is a transaction refused for good, and with it everything after it. */
    @Test
    fun `no commit passes the state service's limits, with a thousand starts in a round and a job of 100,000 tasks`() {
        machines(1400)
        submit(jobs = 300, tasks = 4)
        submit(jobs = 1, tasks = 100_000)
        settle(rounds = 100)
        assertTrue(commits.sumOf { it.changes.size } > 300)
        for (commit in commits) {
            val values = commit.changes.filterIsInstance<Mutation.Put>().flatMap { LogCodec.encode(it.value, it.parts) }
            val operations = values.size + commit.changes.count { it is Mutation.Delete }
            assertTrue(operations <= deployment.stateTxnOps) { "$operations operations" }
            values.forEach { assertTrue(it.toString().length <= deployment.stateValueBytes) { "a value of ${it.toString().length}" } }
            val bytes = values.sumOf { it.toString().length + 80 }
            assertTrue(bytes <= 65_536) { "$bytes bytes" }
        }
    }

    @Test
    fun `changes are paced by the state service's budget, and what users wait for goes first`() {
        machines(10)
        val begin = commits.size
        submit(jobs = 1, tasks = 1)
        assertEquals(begin + 1, commits.size, "an intake with budget left is written at once")
        val written = commits.size
        val startMs = nowMs
        submit(jobs = 300, tasks = 1)
        settle(rounds = 40)
        val changes = commits.drop(written).sumOf { it.changes.size }
        assertTrue(changes <= deployment.stateWriteRps * (nowMs - startMs + 1000) / 1000) { "$changes changes" }
    }

    /** A late copy of a report may be the first that a new leader hears of a machine that is long gone. */
    @Test
    fun `a machine gets tasks once it shows a version of this term, not before`() {
        step(Input.LeaseRenewed(Long.MAX_VALUE / 2), Input.MachineTypesListed(listOf(type)))
        step(Input.HeartbeatReceived(request(), report(1, sequenceNumber = 1, FencingToken.first(3))))
        submit(jobs = 1, tasks = 1)
        assertTrue(settle(rounds = 4).none { it is Effect.SendCommands })
        step(Input.HeartbeatReceived(request(), report(1, sequenceNumber = 2, FencingToken.first(7))))
        assertEquals(1, settle(rounds = 2).count { it is Effect.SendCommands })
    }

    /** Every machine's last answered report is then older than its lease; counted over the outage, all went back at once. */
    @Test
    fun `after a long outage of the state service no machine is returned for its silence`() {
        machines(20, validUntilMs = 1000)
        submit(jobs = 20, tasks = 2)
        assertTrue(settle(rounds = 3).any { it is Effect.SendCommands })
        settle(rounds = 4 * 60)
        val after = step(Input.LeaseRenewed(Long.MAX_VALUE / 2)) + settle(rounds = 2)
        assertEquals(emptyList<Effect>(), after.filter { it is Effect.Log && "is returned" in it.text })
    }

    /** Otherwise its free room, and starts that its old leader didn't get through, wait for its next report. */
    @Test
    fun `after a take-over a machine that the cloud lists is asked, and its answer is enough`() {
        step(Input.LeaseRenewed(Long.MAX_VALUE / 2), Input.MachineTypesListed(listOf(type)))
        val seen = report(1, sequenceNumber = 5, FencingToken.first(3))
        step(Input.MachinesListed(listOf(ListedMachine(seen.machine, seen.address, Offer("m4", "b", false), ListedState.RUNNING, 100.0))))
        assertTrue(Effect.Probe(seen.machine, seen.address) in settle(rounds = 4))
        step(Input.ProbeAnswered(seen))
        submit(jobs = 1, tasks = 1)
        assertEquals(1, settle(rounds = 2).count { it is Effect.SendCommands })
    }

    /** Nothing placed there would ever run, and nobody would know before the machine counted as silent. */
    @Test
    fun `a late copy of a report doesn't revive a machine that was returned`() {
        machines(1)
        val returned = settle(rounds = 4 * 70).filterIsInstance<Effect.TerminateMachines>().first().machines
        step(Input.MachinesTerminated(returned))
        val request = request()
        assertTrue(Effect.RefuseHeartbeat(request) in step(Input.HeartbeatReceived(request, report(0, sequenceNumber = 9))))
        submit(jobs = 1, tasks = 1)
        assertTrue(settle(rounds = 4).none { it is Effect.SendCommands })
    }

    /** Its reports would keep it in the fleet for ever, and what is placed there would never run. */
    @Test
    fun `a machine that shows none of our answers is given nothing more and returned`() {
        machines(20)
        var sequenceNumber = 1L
        val returned = LinkedHashSet<MachineId>()
        repeat(6) {
            sequenceNumber++
            submit(jobs = 1, tasks = 1)
            for (i in 0 until 20) {
                val token = if (i == 0) FencingToken.first(7) else FencingToken.first(revision + 1)
                step(Input.HeartbeatReceived(request(), report(i, sequenceNumber, minOf(token, FencingToken.first(revision)))))
            }
            returned += settle(rounds = 8).filterIsInstance<Effect.TerminateMachines>().flatMap { it.machines }
        }
        assertEquals(setOf(MachineId("vm-000000")), returned)
    }
}
