package cleathitch.scheduler

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Submissions whose names take more space than a record has. The harness fails if a commit exceeds a limit. */
class SubmissionSizeTest : SchedulerHarness() {
    private val longNames = List(255) { "$it-".padEnd(MAX_NAME_LENGTH, 'x') }

    /** The record of such a submission was larger than a value may be, and the leader repeated its commit for good. */
    @Test
    fun `a job that allows 256 machine types with the longest names is accepted and runs`() {
        becomeLeaderWithFleet(machines = 1)
        val replies = submit(SimulatedCluster.jobSpec(1, tasks = 1).copy(allowedTypes = longNames.toSet() + type.name))
        assertEquals(listOf(false), replies.filterIsInstance<UserReply.Accepted>().map { it.known })
        assertEquals(1, runRounds(4).directStarts().size)
        failOver()
        val known = submit(SimulatedCluster.jobSpec(1, tasks = 1)).filterIsInstance<UserReply.Accepted>().single()
        assertTrue(known.known)
    }

    @Test
    fun `a job whose longest names fit into a record keeps all its allowed types`() {
        becomeLeaderWithFleet(machines = 1)
        submit(SimulatedCluster.jobSpec(1).copy(allowedTypes = setOf(type.name, "type-of-tomorrow")))
        assertTrue(commits.toString().contains("type-of-tomorrow"))
    }

    private fun submit(spec: JobSpec): List<UserReply> = step(Input.Submit(request(), spec)).userReplies()

    private companion object {
        const val MAX_NAME_LENGTH = 256
    }
}
