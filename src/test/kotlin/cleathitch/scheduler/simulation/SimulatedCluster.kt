package cleathitch.scheduler.simulation

import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.machineType
import cleathitch.scheduler.model.Deployment
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
 * Schedulers with simulated controllers, workers, cloud, key-value store, network and users round them, in virtual time. A
 * [seed] fixes every random draw and so the whole run. After each event [SafetyRules] are checked; the run ends when one is broken.
 */
class SimulatedCluster(private val seed: Long, val faults: FaultSchedule, val deployment: Deployment = standard, maxMachines: Int = 24) {
    val random = Random(seed)
    val events = EventQueue()

    /** What controllers logged. */
    val trace = ArrayList<String>()

    /** True once no more faults are injected. */
    var isCalm = false
        private set

    var calmSinceMs = 0L
        private set

    val timings = SchedulerTimings.of(deployment, faults.compactionEveryS)
    val machineType = machineType(deployment.zones)
    val network = SimulatedNetwork(events, random, faults) { isCalm }
    val store = SimulatedKeyValueStore<SimulatedController>(LEASE_TTL_MS) { events.nowMs }
    val pendingRequests = PendingRequests()
    val controllers = List(CONTROLLERS) { SimulatedController(this, "node-$it", clockRate = 1 + (it - 1) * 0.0005) }
    val cloud = SimulatedCloud(this, maxMachines)
    val users = SimulatedUsers(this)
    val rules = SafetyRules(this)
    private val faultInjector = FaultInjector(this, random)

    /** The controller that leads; while a deposed one still takes itself for the leader, the one that holds the leader's key. */
    val leader: SimulatedController? get() = leaders().maxByOrNull { if (it === store.leader) 1 else 0 }

    /** A controller that leads or takes itself for the leader. */
    fun randomLeader() = leaders().randomOrNull(random)

    fun randomController() = controllers.random(random)

    /** Draws how long a message to or from the key-value store takes. */
    fun storeDelayMs() = random.nextLong(1, 10)

    fun log(text: String) {
        trace += "${events.nowMs / 1000.0} $text"
    }

    fun start() {
        controllers.forEach { it.start() }
        faultInjector.start()
    }

    fun run(durationMs: Long) = events.run(durationMs, mayContinue = { rules.violations.isEmpty() }, afterEach = rules::checkCluster)

    /** Ends all faults: from here on all work must come to its end. */
    fun endFaults() {
        isCalm = true
        calmSinceMs = events.nowMs
        faultInjector.stop()
    }

    fun assertNoRuleViolated() = assertEquals(emptyList<Violation>(), rules.violations) { "rules violated, ${lastEvents()}" }

    fun assertAllJobsEnded() {
        val open = users.submitted.values.filter { !it.hasEnded }.map { it.spec.id }
        assertTrue(open.isEmpty()) { "never ended: $open, ${lastEvents()}" }
    }

    private fun leaders() = controllers.filter { it.isLeading }

    private fun lastEvents() = "seed $seed, last events:\n" + trace.takeLast(EVENTS_SHOWN).joinToString("\n")

    companion object {
        /** Time to live of the leader's lease. */
        const val LEASE_TTL_MS = 3000L
        private const val CONTROLLERS = 3
        private const val EVENTS_SHOWN = 40

        val standard = Deployment(
            zones = listOf("a", "b"),
            teams = mapOf("red" to Team("red", 8.0, 12.0, 0.0, null), "blue" to Team("blue", 0.0, null, 0.0, null)),
            objectives = listOf(Objective.Wait("web", 1.0, 0.9), Objective.Finished("batch", 60.0, 0.9)),
            reportS = 3.0, leaseS = 34.0, cancelS = 64.0,
            stateRps = 100.0, stateWriteRps = 40.0, stateValueBytes = 16_384, stateTxnOps = 32,
            cloudRps = 4.0, listLagS = 4.0, nodes = 3,
        )

        /** A job of [tasks] small tasks; services run in production and never on spot machines. */
        fun job(number: Int, kind: JobKind = JobKind.ARRAY, tasks: Int = 3, team: String = "red") = JobSpec(
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
