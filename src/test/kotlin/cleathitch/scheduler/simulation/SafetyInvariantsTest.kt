package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Seeded runs of a simulated cluster under each fault schedule: no rule is violated, and all work ends once the faults are over. */
class SafetyInvariantsTest {
    @TestFactory
    fun `no rule is violated, and all jobs end once faults are over`() = FaultSchedules.byName.flatMap { (name, faults) ->
        (1L..SEEDS).map { seed -> DynamicTest.dynamicTest("$name, seed $seed") { checkRun(seed, faults) } }
    }

    private fun checkRun(seed: Long, faults: FaultSchedule) {
        val cluster = SimulatedCluster(seed, faults)
        cluster.start()
        repeat(JOBS) { number -> scheduleJob(cluster, number) }

        cluster.run(FAULTS_MS)
        cluster.endFaults()
        cluster.run(CALM_MS)

        cluster.assertNoRuleViolated()
        cluster.assertAllJobsEnded()
    }

    /** Jobs come in the first half of the time; services, which never end by themselves, and some others are cancelled in the second. */
    private fun scheduleJob(cluster: SimulatedCluster, number: Int) {
        val spec = jobSpec(number)
        cluster.events.after(cluster.random.nextLong(FAULTS_MS / 2)) { cluster.users.submit(spec) }
        if (spec.kind == JobKind.SERVICE || number % 7 == 0) {
            cluster.events.after(FAULTS_MS / 2 + cluster.random.nextLong(FAULTS_MS / 2)) { cluster.users.cancel(spec.id) }
        }
    }

    private fun jobSpec(number: Int): JobSpec {
        val kind = if (number % 4 == 3) JobKind.SERVICE else JobKind.ARRAY
        val spec = SimulatedCluster.job(number, kind, tasks = 1 + number % 5, team = if (number % 3 == 0) "blue" else "red")
        return when (number % 5) {
            1 -> spec.copy(spread = true)
            2 -> spec.copy(oneZone = true)
            else -> spec
        }
    }

    private companion object {
        const val SEEDS = 8L
        const val JOBS = 24
        const val FAULTS_MS = 150_000L
        const val CALM_MS = 240_000L
    }
}
