package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.model.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random

/** Simulates clusters with more work than room and without faults, in which jobs preempt the tasks of others. */
class PreemptionTest {
    private fun cluster(
        seed: Long,
        machines: Int,
        guaranteedCpus: Double = 0.0,
        maxCpus: Double? = null,
        objectives: List<Objective> = emptyList(),
    ) = SimulatedCluster(
        seed,
        FaultSchedule(),
        SimulatedCluster.defaultDeployment.copy(
            teams = listOf("red", "blue").associateWith { Team(it, guaranteedCpus, maxCpus, 0.0, null) },
            objectives = SimulatedCluster.defaultDeployment.objectives + objectives,
        ),
        machines,
    )

    private fun SimulatedCluster.submitAt(ms: Long, spec: JobSpec) = events.schedule(ms) { users.submit(spec) }

    /** Without it, freed resources went to others in the same round, whose tasks were the next round's victims, without end. */
    @Test
    fun `room that is made for a job isn't given to others, so that the job starts`() {
        val cluster = cluster(seed = 1, machines = 1)
        cluster.submitAt(0, urgentJob(1, cpus = 2.0))
        cluster.submitAt(8_000, SimulatedCluster.jobSpec(2, tasks = 12).copy(cpus = 1.0, spotAllowed = false))
        cluster.submitAt(12_000, urgentJob(3, cpus = 4.0))
        cluster.start()

        cluster.run(120_000)

        assertTrue(JobId("j-000003") in cluster.users.firstStartMs) { cluster.trace.joinToString("\n") }
        assertStopsLeadToStarts(cluster)
    }

    /** Guards against stops that free room which nobody or somebody else uses, and against tasks that are stopped again and again. */
    @TestFactory
    fun `every stopped task makes room in which the job starts that it was stopped for`() = (1L..SEED_COUNT).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val cluster = cluster(
                seed,
                machines = 3,
                guaranteedCpus = if (seed % 2 ==
                    0L
                ) {
                    4.0
                } else {
                    0.0
                },
                maxCpus = if (seed % 3 == 0L) 8.0 else null,
            )
            val random = Random(seed)
            repeat(JOB_COUNT) { cluster.submitAt(random.nextLong(SUBMISSION_PHASE_MS), randomJob(it, random)) }
            cluster.start()

            cluster.run(RUN_MS)

            cluster.assertInvariantsHold()
            cluster.assertAllJobsEnded()
            assertStopsLeadToStarts(cluster)
        }
    }

    /** Without it, a team within its guarantee waited for as long as others held all machines, and no task was ever stopped for it. */
    @TestFactory
    fun `borrowed capacity is given back to a team within its guarantee, once and not below the lender's own`() =
        listOf(JobKind.SERVICE, JobKind.GANG, JobKind.ARRAY).flatMap { kind ->
            listOf(emptyList(), listOf(Objective.Guarantee(5.0, 0.9))).map { objectives ->
                DynamicTest.dynamicTest("$kind, $objectives") { assertReclaimed(kind, objectives) }
            }
        }

    private fun assertReclaimed(kind: JobKind, objectives: List<Objective>) {
        val cluster = cluster(seed = 1, machines = 3, guaranteedCpus = 4.0, objectives = objectives)
        cluster.submitAt(0, SimulatedCluster.jobSpec(1, JobKind.SERVICE, tasks = 5, team = "blue"))
        cluster.submitAt(1_000, SimulatedCluster.jobSpec(2, JobKind.SERVICE, tasks = 3, team = "blue"))
        val guaranteed = SimulatedCluster.jobSpec(3, kind, tasks = 2, team = "red").copy(spotAllowed = false)
        cluster.submitAt(30_000, guaranteed)
        cluster.start()

        cluster.run(60_000)
        assertTrue(guaranteed.id in cluster.users.firstStartMs) { cluster.trace.joinToString("\n") }
        cluster.run(600_000)

        assertStopsLeadToStarts(cluster)
        assertEquals(2, PreemptionTrace.of(cluster.trace).stops.size)
    }

    private fun urgentJob(number: Int, cpus: Double, tasks: Int = 1) =
        SimulatedCluster.jobSpec(number, tasks = tasks).copy(priority = Priority.PRODUCTION, cpus = cpus, spotAllowed = false)

    private fun randomJob(number: Int, random: Random): JobSpec {
        val spec = SimulatedCluster.jobSpec(number, tasks = random.nextInt(1, 9), team = listOf("red", "blue").random(random))
        return spec.copy(
            priority = Priority.entries.random(random),
            cpus = random.nextInt(1, 5).toDouble(),
            spotAllowed = random.nextBoolean(),
            spread = random.nextInt(4) == 0,
            oneZone = random.nextInt(5) == 0,
        ).let { if (it.spread) it.copy(oneZone = false) else it }
    }

    private fun assertStopsLeadToStarts(cluster: SimulatedCluster) {
        val preemptions = PreemptionTrace.of(cluster.trace)
        assertTrue(preemptions.stops.isNotEmpty()) { "no task was preempted" }
        assertEquals(emptyList<Any>(), preemptions.stopsWithoutStart(cluster.timings.silentAfterMs / 1000.0))
    }

    private companion object {
        const val SEED_COUNT = 8L
        const val JOB_COUNT = 40
        const val SUBMISSION_PHASE_MS = 120_000L
        const val RUN_MS = 900_000L
    }
}
