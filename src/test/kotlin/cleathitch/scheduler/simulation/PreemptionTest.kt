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

/** Simulates clusters with more work than room, in which jobs preempt the tasks of others. */
class PreemptionTest {
    private fun cluster(
        seed: Long,
        machines: Int,
        team: Team = Team("red", 0.0, null, 0.0, null),
        objectives: List<Objective> = emptyList(),
        zones: List<String> = SimulatedCluster.defaultDeployment.zones,
        faults: FaultSchedule = FaultSchedule(),
    ) = SimulatedCluster(
        seed,
        faults,
        SimulatedCluster.defaultDeployment.copy(
            teams = listOf("red", "blue").associateWith { team.copy(name = it) },
            objectives = SimulatedCluster.defaultDeployment.objectives + objectives,
            zones = zones,
        ),
        machines,
    )

    /** Each seed has other zones, guarantees and limits; the guarantees of some exceed the 12 CPUs of the machines. */
    private fun randomCluster(seed: Long, faults: FaultSchedule = FaultSchedule()): SimulatedCluster {
        val guaranteedCpus = listOf(0.0, 4.0, 8.0)[(seed % 3).toInt()]
        val team = Team("red", guaranteedCpus, if (seed % 2 == 0L) 8.0 else null, 0.0, null)
        val zones = listOf("a", "b", "c").take(2 + (seed % 2).toInt())
        val cluster = cluster(seed, machines = 3, team, zones = zones, faults = faults)
        val random = Random(seed)
        repeat(JOB_COUNT) { cluster.submitAt(random.nextLong(SUBMISSION_PHASE_MS), randomJob(it, random, zones)) }
        cluster.start()
        return cluster
    }

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
            val cluster = randomCluster(seed)

            cluster.run(RUN_MS)

            cluster.assertInvariantsHold()
            cluster.assertAllJobsEnded()
            assertStopsLeadToStarts(cluster)
        }
    }

    /** Room that is being made is lost with leaders, machines and messages; all jobs have to run nevertheless. */
    @TestFactory
    fun `jobs for which room is made run in spite of faults`() = (1L..SEED_COUNT).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val faults = FaultSchedule(messageLoss = 0.02, leaderKillEveryS = 40.0, machineHangEveryS = 30.0, machineLossEveryS = 60.0)
            val cluster = randomCluster(seed, faults)

            cluster.run(SUBMISSION_PHASE_MS)
            cluster.endFaults()
            cluster.run(RUN_MS)

            cluster.assertInvariantsHold()
            cluster.assertAllJobsEnded()
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
        val cluster = cluster(seed = 1, machines = 3, Team("red", 4.0, null, 0.0, null), objectives)
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

    private fun randomJob(number: Int, random: Random, zones: List<String>): JobSpec {
        val spec = SimulatedCluster.jobSpec(number, tasks = random.nextInt(1, 9), team = listOf("red", "blue").random(random))
        return spec.copy(
            priority = Priority.entries.random(random),
            cpus = random.nextInt(1, 5).toDouble(),
            spotAllowed = random.nextBoolean(),
            zone = if (random.nextInt(6) == 0) zones.random(random) else null,
            spread = random.nextInt(4) == 0,
            oneZone = random.nextInt(5) == 0,
        ).let { if (it.spread) it.copy(oneZone = false, zone = null) else it }
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
