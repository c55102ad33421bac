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

/** A new leader in term 9 recovers a log in which a task was started on machine 1. It has no heartbeat from that machine yet. */
class FailoverTest : SchedulerHarness(term = 9, recovered = recoveredState()) {
    /** The earlier leader may have renewed the worker's lease as late as the end of its grace period. */
    @Test
    fun `a silent machine keeps its task until grace period, worker lease and margin are over`() {
        becomeLeader()
        val inheritedLeaseEndMs = timings.graceMs + workerLeaseMs + timings.leaseMarginMs

        val beforeEnd = runWithHeartbeats(inheritedLeaseEndMs - 4000)
        val aroundEnd = runWithHeartbeats(8000)

        assertEquals(emptyList<Any>(), beforeEnd.directStarts())
        assertEquals(DirectStart(MachineId("vm-000002"), AttemptId(STARTED_ATTEMPT.task, 2)), aroundEnd.directStarts().single())
    }

    /**
     * A restarted controller may lead again within a fraction of a second, while its earlier start command is still in flight.
     * The same attempt is therefore sent to the same machine, under a fencing token that makes the worker reject the earlier command.
     */
    @Test
    fun `a start that the machine doesn't report is sent again, as the same attempt under the new term's fencing token`() {
        becomeLeader()

        val answer = sendHeartbeat(heartbeat(1, sequenceNumber = 4, FencingToken.first(7))).heartbeatAnswers().single()

        assertEquals(listOf<WorkerCommand>(WorkerCommand.Start(STARTED_ATTEMPT)), answer.commands)
        assertTrue(answer.token > FencingToken.first(9))
    }

    /** The leader has already received a heartbeat that was sent later and reports the task as running. */
    @Test
    fun `a delayed heartbeat that doesn't list the task is refused and doesn't cause a second attempt`() {
        becomeLeader()
        val running = heartbeat(1, sequenceNumber = 4, FencingToken.first(7))
            .copy(tasks = listOf(TaskStatus(STARTED_ATTEMPT, TaskState.RUNNING)))
        sendHeartbeat(running)

        val staleEffects = sendHeartbeat(heartbeat(1, sequenceNumber = 3, FencingToken.first(7)))
        sendHeartbeat(heartbeat(2))

        assertTrue(staleEffects.any { it is Effect.RefuseHeartbeat })
        assertEquals(emptyList<Any>(), runRounds(20).directStarts())
    }

    private var sequenceNumber = 0L

    /** Advances the clock by [durationMs] with heartbeats of machine 2, which has free capacity. */
    private fun runWithHeartbeats(durationMs: Long) = buildList {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            addAll(sendHeartbeat(heartbeat(2, ++sequenceNumber)))
            addAll(runRounds(8))
        }
    }

    private companion object {
        val STARTED_ATTEMPT = AttemptId(TaskId(JobId("j-000001"), 0), 1)

        fun recoveredState(): RecoveredState {
            val job = JobSnapshot(
                lastIncludedIndex = LogIndex(5),
                spec = SimulatedCluster.jobSpec(1, tasks = 1),
                acceptedAtWallMs = 0,
                isCancelled = false,
                completedTasks = byteArrayOf(),
                liveAttempts = listOf(LiveAttempt(STARTED_ATTEMPT.task.index, STARTED_ATTEMPT.number, MachineId("vm-000001"))),
                lastAttemptNumber = STARTED_ATTEMPT.number,
            )
            return RecoveredState.EMPTY.copy(head = LogIndex(5), jobs = listOf(StoredJob(job, parts = 1)))
        }
    }
}
