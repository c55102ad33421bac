package cleathitch.scheduler

import cleathitch.protocol.MessageCodec
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * What grows with the fleet on the way from an election to answers, counted at 4,000 machines under the limits of a small
 * state service. Times and memory are printed, not judged:
 *
 * `mvn -Dtest=LargeFleetTest test` prints the figures of one engine and its replay.
 */
class LargeFleetTest : SchedulerHarness() {
    private val reportMs = (deployment.reportS * 1000).toLong()

    /** Half of the machines run two tasks each. */
    private fun running(machines: Int): List<Heartbeat> {
        machines(machines)
        submit(jobs = machines / TASKS_PER_JOB, tasks = TASKS_PER_JOB)
        val tasks = HashMap<MachineId, MutableSet<TaskStatus>>()
        var rounds = 0
        while (tasks.values.sumOf { it.size } < machines && rounds++ < MAX_ROUNDS) {
            val starts = settle(rounds = 1).filterIsInstance<Effect.SendCommands>().flatMap { push ->
                push.commands.filterIsInstance<WorkerCommand.Start>().map { push.machine to TaskStatus(it.attempt, TaskState.RUNNING) }
            }
            // An order that no report has shown yet may be sent again.
            starts.forEach { (machine, task) -> tasks.getOrPut(machine) { LinkedHashSet() } += task }
            // Machines report on meanwhile, else they count as silent.
            if (rounds % ROUNDS_PER_REPORT == 0) reportAll(machines, tasks, rounds.toLong())
        }
        assertEquals(machines, tasks.values.sumOf { it.size }, "tasks that were started in $rounds rounds")
        return reportAll(machines, tasks, MAX_ROUNDS + 1L)
    }

    private fun reportAll(machines: Int, tasks: Map<MachineId, Set<TaskStatus>>, sequenceNumber: Long): List<Heartbeat> {
        val reports =
            List(machines) { number -> report(number, sequenceNumber + 1).let { it.copy(tasks = tasks[it.machine].orEmpty().toList()) } }
        reports.forEach { step(Input.HeartbeatReceived(request(), it)) }
        return reports
    }

    private fun usedMb(): Long {
        repeat(2) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() } / 1_000_000
    }

    private fun pagesOf(entries: Int, bytes: Long) = maxOf((entries + PAGE_ENTRIES - 1) / PAGE_ENTRIES, (bytes / PAGE_BYTES + 1).toInt())

    @Test
    fun `a take-over at 4,000 machines reads few pages and takes the report of every machine`() {
        val before = usedMb()
        val reports = running(MACHINES)
        val stored = storedEntries()
        val bytes = stored.sumOf { MessageCodec.encode(it.value).size.toLong() + it.key.length }
        val pages = pagesOf(stored.size, bytes)
        val withEngine = usedMb()
        val startNs = System.nanoTime()
        failOver()
        val replayMs = (System.nanoTime() - startNs) / 1_000_000
        step(Input.MachinesListed(List(MACHINES) { listed(it) }))
        val beginMs = nowMs
        val asked = HashSet<MachineId>()
        while (nowMs - beginMs < reportMs) settle(rounds = 1).filterIsInstance<Effect.Probe>().mapTo(asked) { it.machine }
        println(
            "$MACHINES machines, as many tasks: ${stored.size} entries, ${bytes / 1000} kB, $pages pages, replay $replayMs ms; " +
                "${asked.size} machines asked in a report period of $reportMs ms; " +
                "heap $before MB before, $withEngine MB with the engine, ${usedMb()} MB after its successor's replay",
        )
        assertTrue(pages <= MAX_PAGES) { "$pages pages, $bytes bytes, ${stored.size} entries" }
        val heard = reports.count { report ->
            step(Input.HeartbeatReceived(request(), report.copy(sequenceNumber = report.sequenceNumber + 1))).any {
                it is Effect.AnswerHeartbeat
            }
        }
        assertEquals(MACHINES, heard)
    }

    /** Trimming keeps up: what a replay reads doesn't grow with what was ever done. */
    @Test
    fun `what is stored at 4,000 machines stays bounded while jobs come and go`() {
        val reports = running(MACHINES)
        val atFirst = storedEntries().size
        reports.forEach { report ->
            val ended = report.tasks.map { it.copy(state = TaskState.EXITED, exitReason = ExitReason.DONE) }
            step(Input.HeartbeatReceived(request(), report.copy(sequenceNumber = report.sequenceNumber + 1, tasks = ended)))
        }
        var rounds = 0
        while (storedEntries().size > LEFT_ENTRIES && rounds++ < MAX_ROUNDS) settle(rounds = 1)
        println("$MACHINES ended tasks: $atFirst entries before, ${storedEntries().size} after $rounds rounds of ${timings.roundMs} ms")
        assertTrue(storedEntries().size <= LEFT_ENTRIES) { "${storedEntries().size} entries are left" }
    }

    private companion object {
        const val MACHINES = 4000
        const val TASKS_PER_JOB = 4
        const val MAX_ROUNDS = 3000
        const val ROUNDS_PER_REPORT = 8

        /** What the state service gives in one answer. */
        const val PAGE_ENTRIES = 1000
        const val PAGE_BYTES = 512 * 1024L

        /** At a few milliseconds a page, and some hundred now and then, far below the watchdog's four leases. */
        const val MAX_PAGES = 8

        /** Head, fleet, two chunks of final states, and the last records. */
        const val LEFT_ENTRIES = 8
    }
}
