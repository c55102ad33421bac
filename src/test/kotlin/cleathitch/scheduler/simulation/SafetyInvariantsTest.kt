package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * Simulates a cluster under each fault schedule with several seeds. No invariant may be violated at any time, and all jobs must finish
 * once faults end.
 */
class SafetyInvariantsTest {
    @TestFactory
    fun `no invariant is violated, and all jobs finish once faults end`() = FaultSchedules.byName.flatMap { (name, faults) ->
        (1L..SEED_COUNT).map { seed -> DynamicTest.dynamicTest("$name, seed $seed") { checkRun(seed, faults) } }
    }

    private fun checkRun(seed: Long, faults: FaultSchedule) {
        val cluster = SimulatedCluster(seed, faults)
        cluster.start()
        repeat(JOB_COUNT) { number -> scheduleJob(cluster, number) }

        cluster.run(FAULT_PHASE_MS)
        cluster.endFaults()
        cluster.run(RECOVERY_PHASE_MS)

        cluster.assertInvariantsHold()
        cluster.assertAllJobsEnded()
    }

    /**
     * Submits a job in the first half of the fault phase. Services, which never finish by themselves, and some other jobs are
     * cancelled in the second half.
     */
    private fun scheduleJob(cluster: SimulatedCluster, number: Int) {
        val spec = jobSpec(number)
        cluster.events.schedule(cluster.random.nextLong(FAULT_PHASE_MS / 2)) { cluster.users.submit(spec) }
        if (spec.kind == JobKind.SERVICE || number % 7 == 0) {
            cluster.events.schedule(FAULT_PHASE_MS / 2 + cluster.random.nextLong(FAULT_PHASE_MS / 2)) { cluster.users.cancel(spec.id) }
        }
    }

    private fun jobSpec(number: Int): JobSpec {
        val kind = if (number % 4 == 3) JobKind.SERVICE else JobKind.ARRAY
        val spec = SimulatedCluster.jobSpec(number, kind, tasks = 1 + number % 5, team = if (number % 3 == 0) "blue" else "red")
        return when (number % 5) {
            1 -> spec.copy(spread = true)
            2 -> spec.copy(oneZone = true)
            else -> spec
        }
    }

    private companion object {
        const val SEED_COUNT = 8L
        const val JOB_COUNT = 24
        const val FAULT_PHASE_MS = 150_000L
        const val RECOVERY_PHASE_MS = 240_000L
    }
}
