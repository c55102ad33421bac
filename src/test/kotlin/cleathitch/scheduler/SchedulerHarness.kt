package cleathitch.scheduler

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.log.StoreHealth
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.ListedMachine
import cleathitch.scheduler.model.ListedState
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.Team
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.simulation.SimulatedCluster
import cleathitch.scheduler.simulation.StoredEntries
import cleathitch.storage.LogCodec
import cleathitch.storage.LogSizes
import cleathitch.storage.TransactionLimits
import org.junit.jupiter.api.Assertions.assertNull

/**
 * Runs a leader's scheduler under a manual clock with a key-value store that applies commits at once, unless
 * [isStoreUnavailable] is set. Machines with even numbers are in zone a, those with odd numbers in zone b.
 */
abstract class SchedulerHarness(private var term: Long = 7, recovered: RecoveredState = RecoveredState.EMPTY, maxCpus: Double? = null) {
    protected val type = machineType()
    protected val deployment = SimulatedCluster.defaultDeployment.copy(teams = mapOf("red" to Team("red", 8.0, maxCpus, 0.0, null)))
    protected val timings = SchedulerTimings.of(deployment)
    protected val heartbeatPeriodMs = (deployment.heartbeatPeriodS * 1000).toLong()
    protected val workerLeaseMs = (deployment.workerLeaseS * 1000).toLong()
    protected val roundsPerHeartbeat = (deployment.heartbeatPeriodS * 1000 / timings.roundPeriodMs).toInt()

    /** What the process of the leaders has learnt about the key-value store; all leaders of a test are of one process. */
    protected val storeHealth = StoreHealth(deployment.storeLimits)

    protected var scheduler = newScheduler(recovered, ClockReading(0, 0))
        private set
    protected var nowMs = 0L
        private set

    /** The revision of the key-value store's last change. */
    protected var revision = term
        private set

    private var requests = 0L
    private val store = StoredEntries()
    private val pendingCommits = ArrayList<Commit>()

    /** The limits of the key-value store, which may be lower than the settings say. No commit may exceed those of the settings. */
    protected var storeLimits = deployment.storeLimits

    /** All commits that the key-value store has applied. */
    protected val commits = ArrayList<Commit>()

    /** While set, commits stay pending until [endStoreOutage] applies them or [failOver] discards them. */
    protected var isStoreUnavailable = false

    protected fun request() = RequestId(++requests)

    /** Passes [inputs] to the scheduler as one batch; the result includes the effects that follow from its commits. */
    protected fun step(vararg inputs: Input): List<Effect> {
        val effects = scheduler.handle(inputs.toList(), ClockReading(nowMs, nowMs)).toMutableList()
        effects.commits().forEach { commit ->
            if (isStoreUnavailable) pendingCommits += commit else effects += applyCommit(commit)
        }
        return effects
    }

    private fun applyCommit(commit: Commit): List<Effect> {
        assertNull(TransactionLimits.violation(commit, deployment.storeLimits))
        if (TransactionLimits.violation(commit, storeLimits) != null) {
            return step(Input.CommitRejected(commit.index, TransactionLimits.transaction(commit).size))
        }
        commits += commit
        store.apply(commit.changes)
        return step(Input.CommitSucceeded(commit.index, ++revision))
    }

    /** Makes the key-value store available again and applies the pending commits. */
    protected fun endStoreOutage(): List<Effect> {
        isStoreUnavailable = false
        return pendingCommits.toList().also { pendingCommits.clear() }.flatMap(::applyCommit)
    }

    /** Replaces the leader by a successor that recovers only what is stored; pending commits are discarded. */
    protected fun failOver(leaseUntilMs: Long = NO_EXPIRY_MS): List<Effect> {
        isStoreUnavailable = false
        pendingCommits.clear()
        term = ++revision
        scheduler = newScheduler(LogCodec.decodeRecoveredState(storedEntries()), ClockReading(nowMs, nowMs))
        return becomeLeader(leaseUntilMs)
    }

    private fun newScheduler(recovered: RecoveredState, start: ClockReading): Scheduler {
        val sizes = LogSizes("cleathitch/", "leader/cleathitch")
        return Scheduler(deployment, timings, Term(term), recovered, start, sizes, storeHealth = storeHealth)
    }

    /** The stored entries as a new leader reads them. */
    protected fun storedEntries(): List<KeyValueStoreProtocol.Entry> = store.entries(revision)

    protected fun becomeLeader(leaseUntilMs: Long = NO_EXPIRY_MS) =
        step(Input.LeaseRenewed(leaseUntilMs), Input.MachineTypesListed(listOf(type)))

    protected fun becomeLeaderWithFleet(machines: Int, leaseUntilMs: Long = NO_EXPIRY_MS) {
        becomeLeader(leaseUntilMs)
        repeat(machines) { sendHeartbeat(heartbeat(it)) }
    }

    protected fun advanceTo(ms: Long) {
        nowMs = ms
    }

    /** Advances the clock by [count] scheduling rounds and runs each. */
    protected fun runRounds(count: Int) = List(count) {
        nowMs += timings.roundPeriodMs
        step(Input.Tick)
    }.flatten()

    protected fun machineId(machine: Int) = MachineId("vm-%06d".format(machine))

    protected fun heartbeat(machine: Int, sequenceNumber: Long = 1, token: FencingToken = FencingToken.first(term), incarnation: Long = 1) =
        Heartbeat(
            machine = machineId(machine),
            address = ADDRESS,
            type = type.name,
            zone = if (machine % 2 == 0) "a" else "b",
            spot = false,
            incarnation = incarnation,
            sequenceNumber = sequenceNumber,
            token = token,
            preemptionNoticeS = null,
            tasks = emptyList(),
        )

    protected fun sendHeartbeat(heartbeat: Heartbeat) = step(Input.HeartbeatReceived(request(), heartbeat))

    protected fun listedMachine(machine: Int, state: ListedState = ListedState.RUNNING) =
        ListedMachine(machineId(machine), ADDRESS, Offer(type.name, heartbeat(machine).zone, spot = false), state, ageS = 300.0)

    protected fun submitJobs(count: Int, tasks: Int) = repeat(count) {
        val request = request()
        step(Input.Submit(request, SimulatedCluster.jobSpec(request.number.toInt(), tasks = tasks)))
    }

    protected companion object {
        /** A lease expiry that no test reaches. */
        const val NO_EXPIRY_MS = Long.MAX_VALUE / 2
        private const val ADDRESS = "10.0.0.9:1"
    }
}
