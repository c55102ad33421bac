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
 * Checks the part of a failover that grows with the fleet, which is the work between an election and the first answers. The fleet
 * has 4,000 machines, and the limits are those of a small key-value store. Times and memory are only printed; to see them, run
 * `mvn -Dtest=LargeFleetTest test`.
 */
class LargeFleetTest : SchedulerHarness() {
    @Test
    fun `a failover at 4,000 machines reads few pages, and every machine's heartbeat is answered`() {
        val heapBeforeMb = usedHeapMb()
        val heartbeats = startTasks()
        val heapWithSchedulerMb = usedHeapMb()
        val stored = storedEntries()
        val bytes = stored.sumOf { MessageCodec.encode(it.value).size.toLong() + it.key.length }
        val pages = pageCount(stored, bytes)

        val startNs = System.nanoTime()
        failOver()
        val replayMs = (System.nanoTime() - startNs) / 1_000_000
        val probed = probedInFirstPeriod()
        println(
            "$MACHINES machines, $MACHINES tasks: ${stored.size} entries, ${bytes / 1000} kB, $pages pages, replay $replayMs ms; " +
                "${probed.size} machines probed in a heartbeat period of $heartbeatPeriodMs ms; " +
                "heap $heapBeforeMb MB before, $heapWithSchedulerMb MB with the scheduler, ${usedHeapMb()} MB after its successor's replay",
        )
        val answered = heartbeats.count { heartbeat -> sendHeartbeat(heartbeat.next()).any { it is Effect.AnswerHeartbeat } }

        assertTrue(pages <= MAX_PAGES) { "$pages pages, expected at most $MAX_PAGES; $bytes bytes, ${stored.size} entries" }
        assertEquals(MACHINES, answered)
    }

    /** If compaction fell behind, the time of a replay would grow with the whole history. */
    @Test
    fun `the number of stored entries at 4,000 machines stays bounded as jobs complete`() {
        val heartbeats = startTasks()
        val entriesBefore = storedEntries().size

        heartbeats.forEach { heartbeat ->
            val exited = heartbeat.tasks.map { it.copy(state = TaskState.EXITED, exitReason = ExitReason.DONE) }
            sendHeartbeat(heartbeat.next().copy(tasks = exited))
        }
        var rounds = 0
        while (storedEntries().size > MAX_ENTRIES_AFTER_COMPACTION && rounds++ < MAX_ROUNDS) runRounds(1)

        println(
            "$MACHINES exited tasks: $entriesBefore entries before, " +
                "${storedEntries().size} after $rounds rounds of ${timings.roundPeriodMs} ms",
        )
        assertTrue(storedEntries().size <= MAX_ENTRIES_AFTER_COMPACTION) {
            "${storedEntries().size} entries stored after $rounds rounds, expected at most $MAX_ENTRIES_AFTER_COMPACTION"
        }
    }

    /** Starts [MACHINES] tasks; half of the machines run two each. Returns each machine's newest heartbeat. */
    private fun startTasks(): List<Heartbeat> {
        becomeLeaderWithFleet(MACHINES)
        submitJobs(MACHINES / TASKS_PER_JOB, tasks = TASKS_PER_JOB)
        val tasks = HashMap<MachineId, MutableSet<TaskStatus>>()
        var rounds = 0
        while (tasks.values.sumOf { it.size } < MACHINES && rounds++ < MAX_ROUNDS) {
            // A start that no heartbeat has reported yet may be sent again.
            runRounds(1).directStarts().forEach { start ->
                tasks.getOrPut(start.machine) { LinkedHashSet() } += TaskStatus(start.attempt, TaskState.RUNNING)
            }
            // Without heartbeats the machines would be detected as silent.
            if (rounds % ROUNDS_PER_HEARTBEAT == 0) sendHeartbeats(tasks, rounds + 1L)
        }
        assertEquals(MACHINES, tasks.values.sumOf { it.size }, "tasks started in $rounds rounds")
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

    /** Returns the machines that a new leader probes in its first heartbeat period. */
    private fun probedInFirstPeriod(): Set<MachineId> {
        step(Input.MachinesListed(List(MACHINES) { listedMachine(it) }))
        val startMs = nowMs
        val probed = HashSet<MachineId>()
        while (nowMs - startMs < heartbeatPeriodMs) probed += runRounds(1).probedMachines()
        return probed
    }

    private fun pageCount(entries: List<KeyValueStoreProtocol.Entry>, bytes: Long) =
        maxOf((entries.size + MAX_ENTRIES_PER_PAGE - 1) / MAX_ENTRIES_PER_PAGE, (bytes / MAX_PAGE_BYTES + 1).toInt())

    private fun usedHeapMb(): Long {
        repeat(2) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() } / 1_000_000
    }

    private companion object {
        const val MACHINES = 4000
        const val TASKS_PER_JOB = 4
        const val MAX_ROUNDS = 3000
        const val ROUNDS_PER_HEARTBEAT = 8

        /** The key-value store's limits on the entries and bytes of one response. */
        const val MAX_ENTRIES_PER_PAGE = 1000
        const val MAX_PAGE_BYTES = 512 * 1024L

        /**
         * Reading a page takes a few milliseconds, occasionally a few hundred. A replay of this many pages takes far less than four
         * lease durations, after which a leader that makes no progress is deposed.
         */
        const val MAX_PAGES = 8

        /** The log's head, the inventory, two chunks of finished jobs, and the last records. */
        const val MAX_ENTRIES_AFTER_COMPACTION = 8
    }
}
