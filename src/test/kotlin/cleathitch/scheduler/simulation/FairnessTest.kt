package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.Team
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A simulated cluster to which more work is submitted than it can do: every class, team and size of job gets a share. */
class FairnessTest {
    private class Submission(val spec: JobSpec, val atMs: Long)

    private val teams = listOf("red", "blue", "green")
    private val classes = listOf("batch", "other")
    private val cluster = SimulatedCluster(
        seed = 5,
        faults = FaultSchedule(messageDelay = 0.01, leaderKillEveryS = 90.0),
        deployment = SimulatedCluster.standard.copy(teams = teams.associateWith { Team(it, 8.0, null, 0.0, null) }),
    )
    private val submissions = ArrayList<Submission>()

    /**
     * The protocol's pages require that half of each class, of each team and of a class's largest jobs is served, and that the
     * largest begin within four minutes. With shortest-first alone the largest wait for as long as smaller ones come.
     */
    @Test
    fun `overload is shared by classes, teams and sizes`() {
        repeat(OVERLOAD_S) { second -> submitAt(second) }
        cluster.start()

        cluster.run(OVERLOAD_S * 1000L + AFTER_MS)

        cluster.assertNoRuleViolated()
        assertOverloaded()
        teams.forEach { team -> assertHalfServed("team $team") { it.spec.team == team } }
        classes.forEach { name -> assertHalfServed("class $name") { it.spec.className == name } }
        assertHalfServed("largest") { it.spec.tasks == LARGE && it.atMs < OVERLOAD_S * 1000L / 2 }
        assertLargestBeganInTime()
    }

    /** A job each second, by turns of each class and team; now and then a large one. */
    private fun submitAt(second: Int) {
        val tasks = if (second % LARGE_EVERY_S == 0) LARGE else SMALL
        val spec = SimulatedCluster.job(second, tasks = tasks, team = teams[second % teams.size])
            .copy(className = classes[second % classes.size])
        val submission = Submission(spec, second * 1000L)
        submissions += submission
        cluster.events.after(submission.atMs) { cluster.users.submit(spec) }
    }

    private fun isDone(submission: Submission) = cluster.users.submitted.getValue(submission.spec.id).isReportedDone

    /** Otherwise the test shows nothing. */
    private fun assertOverloaded() {
        val waiting = submissions.count { !isDone(it) }
        assertTrue(waiting > submissions.size / 10) { "only $waiting jobs are left: no overload" }
    }

    private fun assertHalfServed(group: String, isInGroup: (Submission) -> Boolean) {
        val members = submissions.filter(isInGroup)
        assertTrue(members.size >= 5) { "$group: ${members.size} jobs are too few to judge by" }
        val servedShare = members.count(::isDone).toDouble() / members.size
        assertTrue(servedShare > 0.5) { "$group: $servedShare" }
    }

    private fun assertLargestBeganInTime() {
        val late = submissions.filter {
            it.spec.tasks == LARGE && (cluster.users.firstStartMs[it.spec.id] ?: Long.MAX_VALUE) - it.atMs > MAX_WAIT_MS
        }
        assertTrue(late.isEmpty()) { "began late: ${late.map { it.spec.id }}" }
    }

    private companion object {
        /** About one and a half times what 24 machines do in the time. */
        const val OVERLOAD_S = 400
        const val LARGE_EVERY_S = 16
        const val SMALL = 5
        const val LARGE = 40
        const val AFTER_MS = 120_000L
        const val MAX_WAIT_MS = 240_000L
    }
}
