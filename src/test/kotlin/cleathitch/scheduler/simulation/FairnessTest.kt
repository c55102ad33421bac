package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.Team
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Simulates a cluster under overload: every job class, team and job size must get a share of the capacity. */
class FairnessTest {
    private class Submission(val spec: JobSpec, val atMs: Long)

    private val teams = listOf("red", "blue", "green")
    private val classes = listOf("batch", "other")
    private val cluster = SimulatedCluster(
        seed = 5,
        faults = FaultSchedule(messageDelay = 0.01, leaderKillEveryS = 90.0),
        deployment = SimulatedCluster.defaultDeployment.copy(teams = teams.associateWith { Team(it, 8.0, null, 0.0, null) }),
    )
    private val submissions = ArrayList<Submission>()

    /**
     * The protocol documentation requires that half of the jobs of each class, of each team and of the largest jobs of a class
     * complete, and that the largest jobs start within four minutes. Guards against pure shortest-job-first scheduling, under
     * which the largest jobs starve for as long as smaller ones arrive.
     */
    @Test
    fun `under overload every class, team and job size completes more than half of its jobs`() {
        repeat(OVERLOAD_PHASE_S) { second -> scheduleSubmission(second) }
        cluster.start()

        cluster.run(OVERLOAD_PHASE_S * 1000L + DRAIN_PHASE_MS)

        cluster.assertInvariantsHold()
        assertOverloaded()
        teams.forEach { team -> assertHalfServed("team $team") { it.spec.team == team } }
        classes.forEach { name -> assertHalfServed("class $name") { it.spec.className == name } }
        assertHalfServed("large jobs of the first half") { it.spec.tasks == LARGE_JOB_TASKS && it.atMs < OVERLOAD_PHASE_S * 1000L / 2 }
        assertLargeJobsStartedInTime()
    }

    /** Schedules the job of [second], with class and team by round-robin; every [LARGE_JOB_INTERVAL_S]th job is large. */
    private fun scheduleSubmission(second: Int) {
        val tasks = if (second % LARGE_JOB_INTERVAL_S == 0) LARGE_JOB_TASKS else SMALL_JOB_TASKS
        val spec = SimulatedCluster.jobSpec(second, tasks = tasks, team = teams[second % teams.size])
            .copy(className = classes[second % classes.size])
        val submission = Submission(spec, second * 1000L)
        submissions += submission
        cluster.events.schedule(submission.atMs) { cluster.users.submit(spec) }
    }

    private fun isDone(submission: Submission) = cluster.users.submitted.getValue(submission.spec.id).isReportedDone

    /** Checks the precondition of the test: without overload even an unfair scheduler completes all jobs. */
    private fun assertOverloaded() {
        val waiting = submissions.count { !isDone(it) }
        assertTrue(waiting > submissions.size / 10) { "no overload: only $waiting of ${submissions.size} jobs are not done" }
    }

    private fun assertHalfServed(group: String, isInGroup: (Submission) -> Boolean) {
        val members = submissions.filter(isInGroup)
        assertTrue(members.size >= 5) { "$group has ${members.size} jobs, at least 5 are needed" }
        val servedShare = members.count(::isDone).toDouble() / members.size
        assertTrue(servedShare > 0.5) { "$group: share of completed jobs is $servedShare, must be more than 0.5" }
    }

    private fun assertLargeJobsStartedInTime() {
        val late = submissions.filter {
            it.spec.tasks == LARGE_JOB_TASKS && (cluster.users.firstStartMs[it.spec.id] ?: Long.MAX_VALUE) - it.atMs > MAX_WAIT_MS
        }
        assertTrue(late.isEmpty()) { "large jobs that did not start within $MAX_WAIT_MS ms: ${late.map { it.spec.id }}" }
    }

    private companion object {
        /** In this time users submit about one and a half times the work that 24 machines can complete. */
        const val OVERLOAD_PHASE_S = 400
        const val LARGE_JOB_INTERVAL_S = 16
        const val SMALL_JOB_TASKS = 5
        const val LARGE_JOB_TASKS = 40
        const val DRAIN_PHASE_MS = 120_000L
        const val MAX_WAIT_MS = 240_000L
    }
}
