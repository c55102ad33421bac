package cleathitch.scheduler.simulation

import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.machineType
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.model.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.random.Random

/**
 * Deterministic simulation of a cluster in virtual time. The schedulers are the production code; controllers, workers, cloud provider,
 * key-value store, network and users are simulated. The [seed] determines every random draw and therefore the whole run.
 * [InvariantChecker] checks the invariants after each event, and the run stops at the first violation.
 */
class SimulatedCluster(
    private val seed: Long,
    val faults: FaultSchedule,
    val deployment: Deployment = defaultDeployment,
    maxMachines: Int = 24,
) {
    val random = Random(seed)
    val events = EventQueue()

    /** Log lines of the controllers and of the invariant checker, with their virtual time in seconds. */
    val trace = ArrayList<String>()

    /** True once faults are no longer injected. */
    var faultsEnded = false
        private set

    var faultsEndedAtMs = 0L
        private set

    val timings = SchedulerTimings.of(deployment, faults.compactionEveryS)
    val machineType = machineType(deployment.zones)
    val network = SimulatedNetwork(events, random, faults) { faultsEnded }
    val store = SimulatedKeyValueStore<SimulatedController>(LEASE_TTL_MS, deployment.storeLimits) { events.nowMs }
    val pendingRequests = PendingRequests()

    /** Delayed heartbeats that the next leader receives as soon as it leads. */
    val firstHeartbeatsOfNextTerm = ArrayList<Heartbeat>()
    val controllers = List(CONTROLLER_COUNT) { SimulatedController(this, "node-$it", clockRate = 1 + (it - 1) * 0.0005) }
    val cloud = SimulatedCloud(this, maxMachines)
    val users = SimulatedUsers(this)
    val invariants = InvariantChecker(this)
    private val faultInjector = FaultInjector(this, random)

    /** The controller that considers itself the leader; if there are several, the one that holds the leader's key is preferred. */
    val leader: SimulatedController? get() = leaders().maxByOrNull { if (it === store.leader) 1 else 0 }

    /** A controller that considers itself the leader; it may have been deposed. Null if there is none. */
    fun randomLeader() = leaders().randomOrNull(random)

    fun randomController() = controllers.random(random)

    /** Draws the latency of a message to or from the key-value store. */
    fun storeDelayMs() = random.nextLong(1, 10)

    fun log(text: String) {
        trace += "${events.nowMs / 1000.0} $text"
    }

    fun start() {
        controllers.forEach { it.start() }
        faultInjector.start()
    }

    fun run(durationMs: Long) =
        events.run(durationMs, mayContinue = { invariants.violations.isEmpty() }, afterEach = invariants::checkCluster)

    /** Stops the injection of faults. From then on all submitted jobs must finish. */
    fun endFaults() {
        faultsEnded = true
        faultsEndedAtMs = events.nowMs
        faultInjector.stop()
    }

    fun assertInvariantsHold() = assertEquals(emptyList<Violation>(), invariants.violations) { "invariants violated, ${lastLogLines()}" }

    fun assertAllJobsEnded() {
        val open = users.submitted.values.filter { !it.hasEnded }.map { it.spec.id }
        assertTrue(open.isEmpty()) { "${open.size} jobs neither done nor cancelled: $open, ${lastLogLines()}" }
    }

    private fun leaders() = controllers.filter { it.isLeading }

    private fun lastLogLines() = "seed $seed, last log lines:\n" + trace.takeLast(LOG_LINES_SHOWN).joinToString("\n")

    companion object {
        /** Time to live of the leader's lease in the key-value store. */
        const val LEASE_TTL_MS = 3000L
        private const val CONTROLLER_COUNT = 3
        private const val LOG_LINES_SHOWN = 40

        val defaultDeployment = Deployment(
            zones = listOf("a", "b"),
            teams = mapOf("red" to Team("red", 8.0, 12.0, 0.0, null), "blue" to Team("blue", 0.0, null, 0.0, null)),
            objectives = listOf(Objective.StartDelay("web", 1.0, 0.9), Objective.Completion("batch", 60.0, 0.9)),
            heartbeatPeriodS = 3.0, workerLeaseS = 34.0, cancellationDeadlineS = 64.0,
            storeRequestsPerS = 100.0, storeWritesPerS = 40.0, maxStoredValueBytes = 16_384, maxTransactionOps = 32,
            cloudCallsPerS = 4.0, machineListLagS = 4.0, controllerCount = 3,
        )

        /** A job of [tasks] tasks with 2 CPUs each. Services have production priority and do not allow spot machines. */
        fun jobSpec(number: Int, kind: JobKind = JobKind.ARRAY, tasks: Int = 3, team: String = "red") = JobSpec(
            id = JobId("j-%06d".format(number)),
            className = if (kind == JobKind.SERVICE) "web" else "batch",
            team = team,
            kind = kind,
            priority = if (kind == JobKind.SERVICE) Priority.PRODUCTION else Priority.NORMAL,
            tasks = tasks,
            cpus = 2.0,
            gpus = 0.0,
            memoryGb = 2.0,
            image = "img",
            imageGb = 1.0,
            spotAllowed = kind != JobKind.SERVICE,
            estimatedRunS = 10.0,
        )
    }
}
