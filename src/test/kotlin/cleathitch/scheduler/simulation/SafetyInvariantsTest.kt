package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.JobKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Whole days in a stand-in world: no rule may break, and all work must come to its end once calm. */
class SafetyInvariantsTest {
    private val skies = mapOf(
        "calm" to FaultSchedule(),
        "lossy" to FaultSchedule(lost = 0.05, held = 0.03, twice = 0.05),
        "killed leaders" to FaultSchedule(lost = 0.02, held = 0.02, twice = 0.02, killS = 12.0),
        "leaders cut from the state service" to FaultSchedule(held = 0.03, cutS = 20.0),
        "dying and hanging machines" to FaultSchedule(held = 0.02, dieS = 15.0, hangS = 10.0),
        "late copies of reports" to FaultSchedule(held = 0.02, copied = 0.3, killS = 20.0),
        "machines that hear nothing" to FaultSchedule(copied = 0.05, deafS = 20.0),
        "processes and machines back at once" to FaultSchedule(held = 0.02, copied = 0.1, killS = 10.0, bounceS = 6.0, quick = true),
        "racks that stop and zones that are cut off" to FaultSchedule(held = 0.02, rackS = 40.0, zoneS = 40.0, copied = 0.05, killS = 40.0),
        "nodes that stand still" to FaultSchedule(held = 0.02, copied = 0.1, standS = 8.0, hangS = 20.0),
        "standstills in elections" to FaultSchedule(twice = 0.05, killS = 8.0, standS = 6.0, bounceS = 15.0, zoneS = 60.0, quick = true),
        "late transactions" to FaultSchedule(lateWrites = 0.2, killS = 25.0, cutS = 30.0),
        "outages and leaders that change" to FaultSchedule(held = 0.02, outageS = 25.0, killS = 12.0, cancelNowS = 30.0, quick = true),
        "machines that reach nobody, or hear nothing" to FaultSchedule(muteS = 30.0, deafManyS = 40.0, killS = 30.0, cancelNowS = 40.0),
        "users who change their minds" to FaultSchedule(cancelAtEnd = 0.5, oddS = 2.0, cancelNowS = 30.0, killS = 20.0, hangS = 20.0),
        "leaders that end before they archive" to FaultSchedule(endsAtArchive = 0.3, trimS = 0.2, shortTasks = true, cancelAtEnd = 0.2),
        "all nodes away" to FaultSchedule(held = 0.02, copied = 0.1, awayS = 50.0, cancelNowS = 40.0),
        "the gap" to FaultSchedule(gapAtS = 30.0),
        "the gap, with held messages and hanging machines" to FaultSchedule(held = 0.03, copied = 0.05, hangS = 20.0, gapAtS = 30.0),
        "everything at once" to
            FaultSchedule(
                lost = 0.05,
                held = 0.05,
                twice = 0.05,
                killS = 25.0,
                cutS = 30.0,
                dieS = 20.0,
                hangS = 15.0,
                copied = 0.05,
                deafS = 40.0,
                bounceS = 30.0,
                rackS = 60.0,
                zoneS = 60.0,
                standS = 30.0,
            ),
    )

    @TestFactory
    fun `no rule breaks`() = skies.flatMap { (name, weather) ->
        (1L..SEEDS).map { seed -> DynamicTest.dynamicTest("$name, seed $seed") { day(seed, weather) } }
    }

    private fun day(seed: Long, weather: FaultSchedule) {
        val world = SimulatedCluster(seed, weather)
        world.begin()
        repeat(JOBS) { number ->
            val kind = if (number % 4 == 3) JobKind.SERVICE else JobKind.ARRAY
            val shape = SimulatedCluster.job(number, kind, tasks = 1 + number % 5, team = if (number % 3 == 0) "blue" else "red")
            val spec = when (number % 5) {
                1 -> shape.copy(spread = true)
                2 -> shape.copy(oneZone = true)
                else -> shape
            }
            world.after(world.random.nextLong(DAY_MS / 2)) { world.submit(spec) }
            if (kind == JobKind.SERVICE || number % 7 == 0) {
                world.after(DAY_MS / 2 + world.random.nextLong(DAY_MS / 2)) { world.abort(spec.id) }
            }
        }
        world.run(DAY_MS)
        world.calmDown()
        world.run(CALM_MS)
        assertEquals(emptyList<String>(), world.broken) { world.trace.takeLast(40).joinToString("\n") }
        val open = world.submitted.values.filter { !it.doneTold && it.cancelledToldMs == null }.map { it.spec.id }
        assertTrue(open.isEmpty()) { "never ended: $open\n" + world.trace.takeLast(40).joinToString("\n") }
    }

    private companion object {
        const val SEEDS = 8L
        const val JOBS = 24
        const val DAY_MS = 150_000L
        const val CALM_MS = 240_000L
    }
}
