package cleathitch.scheduler

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Hundreds of small jobs that end at once. The harness fails if a commit exceeds a limit. */
class FinishedJobsSizeTest : SchedulerHarness() {
    /** Final states are added to the newest chunk, which must not become larger than a value may be. */
    @Test
    fun `the final states of many jobs with the longest ids fit into their chunks`() {
        becomeLeader()
        val ids = List(JOBS) { JobId("j-%018d".format(it)) }
        ids.forEach { step(Input.Submit(request(), SimulatedCluster.jobSpec(1).copy(id = it))) }
        runRounds(ROUNDS)
        ids.forEach { step(Input.Cancel(request(), it)) }
        runRounds(ROUNDS)
        assertEquals(0, scheduler.openJobCount)
        failOver()
        val states = ids.flatMap { step(Input.Poll(request(), it)).userReplies() }.map { (it as UserReply.Status).state }
        assertEquals(List(JOBS) { JobState.CANCELLED }, states)
    }

    private companion object {
        const val JOBS = 3000

        /** More rounds than the compaction of all jobs takes at the store's rate of changes. */
        const val ROUNDS = 800
    }
}
