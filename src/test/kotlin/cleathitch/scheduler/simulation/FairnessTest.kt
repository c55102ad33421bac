package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A whole day on which far more is asked than can be done, in the stand-in world. */
class FairnessTest {
    private val teams = listOf("red", "blue", "green")
    private val world = SimulatedCluster(
        seed = 5,
        weather = FaultSchedule(held = 0.01, killS = 90.0),
        deployment = SimulatedCluster.standard.copy(teams = teams.associateWith { Team(it, 8.0, null, 0.0, null) }),
    )

    private class Asked(val spec: JobSpec, val atMs: Long)

    private val asked = ArrayList<Asked>()

    private fun submit(atMs: Long, spec: JobSpec) {
        asked += Asked(spec, atMs)
        world.after(atMs) { world.submit(spec) }
    }

    private fun served(which: (Asked) -> Boolean): Double {
        val some = asked.filter(which)
        assertTrue(some.size >= 5) { "${some.size} jobs don't tell much" }
        return some.count { world.submitted.getValue(it.spec.id).doneTold }.toDouble() / some.size
    }

    /**
     * Shortest first once left the largest arrays waiting for as long as smaller ones came. The page wants half of
     * each class, of each team and of a class's largest jobs served, and the largest begun within four minutes.
     */
    @Test
    fun `overload is shared by classes, teams and sizes`() {
        var number = 0
        for (second in 0 until OVERLOAD_S) {
            val large = second % LARGE_EVERY_S == 0
            val className = if (second % 2 == 0) "batch" else "other"
            val spec = SimulatedCluster.job(number++, tasks = if (large) LARGE else SMALL, team = teams[second % teams.size])
            submit(second * 1000L, spec.copy(className = className))
        }
        world.begin()
        world.run(OVERLOAD_S * 1000L + AFTER_MS)
        assertEquals(emptyList<String>(), world.broken) { world.trace.takeLast(40).joinToString("\n") }
        val waiting = asked.count { !world.submitted.getValue(it.spec.id).doneTold }
        assertTrue(waiting > asked.size / 10) { "only $waiting jobs are left: no overload" }
        teams.forEach { team -> assertTrue(served { it.spec.team == team } > 0.5) { "team $team: ${served { it.spec.team == team }}" } }
        listOf("batch", "other").forEach { name ->
            assertTrue(served { it.spec.className == name } > 0.5) { "class $name: ${served { it.spec.className == name }}" }
        }
        val largest: (Asked) -> Boolean = { it.spec.tasks == LARGE && it.atMs < OVERLOAD_S * 1000L / 2 }
        assertTrue(served(largest) > 0.5) { "largest: ${served(largest)}" }
        val late = asked.filter {
            it.spec.tasks == LARGE
        }.filter { (world.firstStartMs[it.spec.id] ?: Long.MAX_VALUE) - it.atMs > BEGIN_MS }
        assertTrue(late.isEmpty()) { "began late: ${late.map { it.spec.id }}" }
    }

    private companion object {
        /** About one and a half times what 24 machines do in the time. */
        const val OVERLOAD_S = 400
        const val LARGE_EVERY_S = 16
        const val SMALL = 5
        const val LARGE = 40
        const val AFTER_MS = 120_000L
        const val BEGIN_MS = 240_000L
    }
}
