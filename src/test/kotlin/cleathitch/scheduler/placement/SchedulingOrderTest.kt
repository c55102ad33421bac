package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.Quota
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.Team
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The order of waiting jobs, the bound on how long it delays a job, and when a job counts as overdue. */
class SchedulingOrderTest {
    private val teams = mapOf("red" to Team("red", 4.0, null, 0.0, null), "blue" to Team("blue", 0.0, null, 0.0, null))
    private val quota = Quota(teams, JobTable())
    private val completionObjectives = mapOf("batch" to listOf(100.0, 200.0))

    private fun job(number: Int, submittedS: Int, tasks: Int, team: String = "blue", kind: JobKind = JobKind.ARRAY) =
        Job(SimulatedCluster.jobSpec(number, kind, tasks, team), submittedS * 1000L, LogIndex(1))

    private fun order(nowS: Int, vararg jobs: Job) =
        SchedulingOrder(completionObjectives, quota, nowS * 1000L).order(jobs.toList()).map { it.id.text.removePrefix("j-").toInt() }

    @Test
    fun `order is by priority, then guaranteed quota, then small jobs before large ones of similar age`() {
        val service = job(1, submittedS = 9, tasks = 2, kind = JobKind.SERVICE)
        val guaranteed = job(2, submittedS = 8, tasks = 1, team = "red")
        val large = job(3, submittedS = 1, tasks = 100)
        val small = job(4, submittedS = 5, tasks = 2)
        assertEquals(listOf(1, 2, 4, 3), order(10, large, small, guaranteed, service))
    }

    /** If the delay in virtualSubmissionMs were unbounded, as in plain shortest-job-first, the large job would never be first. */
    @Test
    fun `a stream of small jobs doesn't starve a large one`() {
        val large = job(1, submittedS = 0, tasks = 100)
        val before = (0..300 step 5).takeWhile { now -> order(now, large, job(2, submittedS = now, tasks = 1)).first() == 2 }
        assertTrue(before.last() in 30..100) { "the large job is first from ${before.last() + 5} s on" }
    }

    @Test
    fun `a job that can no longer meet an objective is delayed by a bounded time`() {
        val late = job(1, submittedS = 0, tasks = 5)
        assertEquals(listOf(2, 1), order(95, late, job(2, submittedS = 50, tasks = 5)))
        assertEquals(listOf(1, 2), order(160, late, job(2, submittedS = 120, tasks = 5)))
    }

    @Test
    fun `a job is overdue if it has had no attempt within two minutes of its submission`() {
        val waiting = job(1, submittedS = 0, tasks = 5)
        assertFalse(SchedulingOrder.isOverdue(waiting, 119_000))
        assertTrue(SchedulingOrder.isOverdue(waiting, 120_000))
        waiting.restoreProgress(ByteArray(0), lastAttemptNumber = 1)
        assertFalse(SchedulingOrder.isOverdue(waiting, 120_000))
    }
}
