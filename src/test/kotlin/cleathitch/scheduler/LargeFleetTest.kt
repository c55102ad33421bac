package cleathitch.scheduler

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MessageCodec
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * What grows with the fleet between an election and the first answers, counted at 4,000 machines under the limits of a small
 * key-value store. Times and memory are printed and not checked: `mvn -Dtest=LargeFleetTest test`.
 */
class LargeFleetTest : SchedulerHarness() {
    @Test
    fun `a failover at 4,000 machines reads few pages and accepts the heartbeat of every machine`() {
        val heapBeforeMb = usedHeapMb()
        val heartbeats = startTasksOnAllMachines()
        val heapWithSchedulerMb = usedHeapMb()
        val stored = storedEntries()
        val bytes = stored.sumOf { MessageCodec.encode(it.value).size.toLong() + it.key.length }
        val pages = pagesOf(stored, bytes)

        val startNs = System.nanoTime()
        failOver()
        val replayMs = (System.nanoTime() - startNs) / 1_000_000
        val probed = probesInAnInterval()
        println(
            "$MACHINES machines, as many tasks: ${stored.size} entries, ${bytes / 1000} kB, $pages pages, replay $replayMs ms; " +
                "${probed.size} machines probed in a heartbeat interval of $heartbeatIntervalMs ms; " +
                "heap $heapBeforeMb MB before, $heapWithSchedulerMb MB with the scheduler, ${usedHeapMb()} MB after its successor's replay",
        )
        val answered = heartbeats.count { heartbeat -> sendHeartbeat(heartbeat.next()).any { it is Effect.AnswerHeartbeat } }

        assertTrue(pages <= MAX_PAGES) { "$pages pages, $bytes bytes, ${stored.size} entries" }
        assertEquals(MACHINES, answered)
    }

    /** Compaction keeps up, so that the time of a replay doesn't grow with all that was ever done. */
    @Test
    fun `what is stored at 4,000 machines stays bounded while jobs come and go`() {
        val heartbeats = startTasksOnAllMachines()
        val entriesBefore = storedEntries().size

        heartbeats.forEach { heartbeat ->
            val exited = heartbeat.tasks.map { it.copy(state = TaskState.EXITED, exitReason = ExitReason.DONE) }
            sendHeartbeat(heartbeat.next().copy(tasks = exited))
        }
        var rounds = 0
        while (storedEntries().size > MAX_ENTRIES_LEFT && rounds++ < MAX_ROUNDS) runRounds(1)

        println(
            "$MACHINES exited tasks: $entriesBefore entries before, ${storedEntries().size} after $rounds rounds of ${timings.roundMs} ms",
        )
        assertTrue(storedEntries().size <= MAX_ENTRIES_LEFT) { "${storedEntries().size} entries are left" }
    }

    /** Half of the machines run two tasks each. The result is each machine's newest heartbeat. */
    private fun startTasksOnAllMachines(): List<Heartbeat> {
        becomeLeaderOf(MACHINES)
        submitJobs(MACHINES / TASKS_PER_JOB, tasks = TASKS_PER_JOB)
        val tasks = HashMap<MachineId, MutableSet<TaskStatus>>()
        var rounds = 0
        while (tasks.values.sumOf { it.size } < MACHINES && rounds++ < MAX_ROUNDS) {
            // A start that no heartbeat has shown yet may be sent again.
            runRounds(1).directStarts().forEach { start ->
                tasks.getOrPut(start.machine) { LinkedHashSet() } += TaskStatus(start.attempt, TaskState.RUNNING)
            }
            // Without heartbeats the machines would count as silent.
            if (rounds % ROUNDS_PER_HEARTBEAT == 0) sendHeartbeats(tasks, rounds + 1L)
        }
        assertEquals(MACHINES, tasks.values.sumOf { it.size }, "tasks that were started in $rounds rounds")
        return sendHeartbeats(tasks, MAX_ROUNDS + 2L)
    }

    private fun sendHeartbeats(tasks: Map<MachineId, Set<TaskStatus>>, sequenceNumber: Long): List<Heartbeat> {
        val heartbeats = List(MACHINES) { machine ->
            heartbeat(machine, sequenceNumber).copy(tasks = tasks[machineId(machine)].orEmpty().toList())
        }
        heartbeats.forEach(::sendHeartbeat)
        return heartbeats
    }

    private fun Heartbeat.next() = copy(sequenceNumber = sequenceNumber + 1)

    /** The machines that a new leader probes in its first heartbeat interval. */
    private fun probesInAnInterval(): Set<MachineId> {
        step(Input.MachinesListed(List(MACHINES) { listedMachine(it) }))
        val beginMs = nowMs
        val probed = HashSet<MachineId>()
        while (nowMs - beginMs < heartbeatIntervalMs) probed += runRounds(1).probedMachines()
        return probed
    }

    private fun pagesOf(entries: List<KeyValueStoreProtocol.Entry>, bytes: Long) =
        maxOf((entries.size + PAGE_ENTRIES - 1) / PAGE_ENTRIES, (bytes / PAGE_BYTES + 1).toInt())

    private fun usedHeapMb(): Long {
        repeat(2) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() } / 1_000_000
    }

    private companion object {
        const val MACHINES = 4000
        const val TASKS_PER_JOB = 4
        const val MAX_ROUNDS = 3000
        const val ROUNDS_PER_HEARTBEAT = 8

        /** The key-value store's limits on one answer. */
        const val PAGE_ENTRIES = 1000
        const val PAGE_BYTES = 512 * 1024L

        /** At a few milliseconds a page, now and then some hundred, a replay stays well below the watchdog's four leases. */
        const val MAX_PAGES = 8

        /** Head, inventory, two chunks of finished jobs, and the last records. */
        const val MAX_ENTRIES_LEFT = 8
    }
}
