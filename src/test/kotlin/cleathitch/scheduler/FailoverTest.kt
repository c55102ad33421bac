package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.log.JobSnapshot
import cleathitch.scheduler.log.LiveAttempt
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.log.StoredJob
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The successor in term 9; the records say that a task was started on a machine that nobody has heard of since. */
class FailoverTest :
    SchedulerHarness(
        term = 9,
        snapshot = RecoveredState(
            head = LogIndex(5),
            records = emptyList(),
            inventory = null,
            finishedJobs = emptyList(),
            jobs = listOf(
                StoredJob(
                    JobSnapshot(
                        LogIndex(5),
                        SimulatedCluster.job(1, tasks = 1),
                        0,
                        false,
                        byteArrayOf(),
                        listOf(LiveAttempt(0, 1, MachineId("vm-000001"))),
                        1,
                    ),
                    parts = 1,
                ),
            ),
        ),
    ) {
    private val started = AttemptId(TaskId(JobId("j-000001"), 0), 1)

    private fun starts(effects: List<Effect>) = effects.filterIsInstance<Effect.SendCommands>()
        .flatMap { push -> push.commands.filterIsInstance<WorkerCommand.Start>().map { it.attempt to push.machine } }

    /** The old leader may have answered that machine until its grace was over, and it counts its lease from there. */
    @Test
    fun `a machine that was never heard keeps its task until grace, lease and margin are over`() {
        step(Input.LeaseRenewed(Long.MAX_VALUE / 2), Input.MachineTypesListed(listOf(type)))
        val endMs = timings.graceMs + (deployment.leaseS * 1000).toLong() + timings.leaseMarginMs
        var sequenceNumber = 0L
        fun until(ms: Long) = buildList {
            var at = 0L
            while (at < ms) {
                addAll(step(Input.HeartbeatReceived(request(), report(2, ++sequenceNumber))))
                addAll(settle(rounds = 8))
                at += timings.roundMs * 8
            }
        }
        assertEquals(emptyList<Any>(), starts(until(endMs - 4000)))
        val (attempt, machine) = starts(until(8000)).single()
        assertEquals(AttemptId(started.task, 2) to MachineId("vm-000002"), attempt to machine)
    }

    /**
     * The old leader's process is back within a fraction of a second, and its order is still on its way: the same
     * attempt goes to the same machine under a version that shuts the older order out.
     */
    @Test
    fun `a start that the machine doesn't show goes to it again, as the same attempt and under the new term`() {
        step(Input.LeaseRenewed(Long.MAX_VALUE / 2), Input.MachineTypesListed(listOf(type)))
        val answer = step(
            Input.HeartbeatReceived(request(), report(1, sequenceNumber = 4, FencingToken.first(7))),
        ).filterIsInstance<Effect.AnswerHeartbeat>().single()
        assertEquals(listOf<WorkerCommand>(WorkerCommand.Start(started)), answer.commands)
        assertTrue(answer.token > FencingToken.first(9))
    }

    /** As when an answer crosses it: a late copy shows less than was seen, and proves nothing. */
    @Test
    fun `a late copy that lacks the task ends nothing`() {
        step(Input.LeaseRenewed(Long.MAX_VALUE / 2), Input.MachineTypesListed(listOf(type)))
        val running = report(1, sequenceNumber = 4, FencingToken.first(7)).copy(tasks = listOf(TaskStatus(started, TaskState.RUNNING)))
        step(Input.HeartbeatReceived(request(), running))
        assertTrue(
            step(Input.HeartbeatReceived(request(), report(1, sequenceNumber = 3, FencingToken.first(7)))).any {
                it is Effect.RefuseHeartbeat
            },
        )
        step(Input.HeartbeatReceived(request(), report(2)))
        assertEquals(emptyList<Any>(), starts(settle(rounds = 20)))
    }
}
