package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
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

/** A new leader, in term 9, recovers a log in which a task was started on machine 1, from which it has no heartbeat yet. */
class FailoverTest : SchedulerHarness(term = 9, recovered = recoveredState()) {
    /** The old leader may have answered that machine until its grace was over, and the worker's lease runs from there. */
    @Test
    fun `a silent machine keeps its task until grace, lease and margin are over`() {
        becomeLeader()
        val endMs = timings.graceMs + workerLeaseMs + timings.leaseMarginMs

        val beforeEnd = runWithHeartbeats(endMs - 4000)
        val aroundEnd = runWithHeartbeats(8000)

        assertEquals(emptyList<Any>(), beforeEnd.directStarts())
        assertEquals(DirectStart(MachineId("vm-000002"), AttemptId(STARTED.task, 2)), aroundEnd.directStarts().single())
    }

    /**
     * The old leader's process may be back within a fraction of a second with its command still on the way: the same attempt
     * goes to the same machine, under a fencing token that shuts the older command out.
     */
    @Test
    fun `a start that the machine doesn't show is sent to it again, as the same attempt under the new term's fencing token`() {
        becomeLeader()

        val answer = sendHeartbeat(heartbeat(1, sequenceNumber = 4, FencingToken.first(7))).heartbeatAnswers().single()

        assertEquals(listOf<WorkerCommand>(WorkerCommand.Start(STARTED)), answer.commands)
        assertTrue(answer.token > FencingToken.first(9))
    }

    /** It shows less than was already known of the machine. */
    @Test
    fun `a late copy of a heartbeat that lacks the task ends nothing`() {
        becomeLeader()
        val running = heartbeat(1, sequenceNumber = 4, FencingToken.first(7)).copy(tasks = listOf(TaskStatus(STARTED, TaskState.RUNNING)))
        sendHeartbeat(running)

        val late = sendHeartbeat(heartbeat(1, sequenceNumber = 3, FencingToken.first(7)))
        sendHeartbeat(heartbeat(2))

        assertTrue(late.any { it is Effect.RefuseHeartbeat })
        assertEquals(emptyList<Any>(), runRounds(20).directStarts())
    }

    private var sequenceNumber = 0L

    /** Lets [durationMs] pass with heartbeats of machine 2, which has room. */
    private fun runWithHeartbeats(durationMs: Long) = buildList {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            addAll(sendHeartbeat(heartbeat(2, ++sequenceNumber)))
            addAll(runRounds(8))
        }
    }

    private companion object {
        val STARTED = AttemptId(TaskId(JobId("j-000001"), 0), 1)

        fun recoveredState(): RecoveredState {
            val job = JobSnapshot(
                lastIncludedIndex = LogIndex(5),
                spec = SimulatedCluster.job(1, tasks = 1),
                acceptedAtWallMs = 0,
                isCancelled = false,
                completedTasks = byteArrayOf(),
                liveAttempts = listOf(LiveAttempt(STARTED.task.index, STARTED.number, MachineId("vm-000001"))),
                lastAttemptNumber = STARTED.number,
            )
            return RecoveredState.EMPTY.copy(head = LogIndex(5), jobs = listOf(StoredJob(job, parts = 1)))
        }
    }
}
