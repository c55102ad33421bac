package cleathitch.scheduler

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.ListedMachine
import cleathitch.scheduler.model.ListedState
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.Team
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.simulation.SimulatedCluster
import cleathitch.scheduler.simulation.StoredEntries
import cleathitch.storage.LogCodec
import cleathitch.storage.StoredSizeEstimator

/** One engine that leads, whose commits succeed at once unless a test holds them, and what a test feeds it with. */
abstract class SchedulerHarness(private var term: Long = 7, snapshot: RecoveredState = RecoveredState.EMPTY, maxCpus: Double? = null) {
    protected val type = MachineType("m4", 4.0, 0.0, 16.0, 50.0, 1.0, 1.0, 0.4, 5.0, listOf("a", "b"))
    protected val deployment = SimulatedCluster.standard.copy(teams = mapOf("red" to Team("red", 8.0, maxCpus, 0.0, null)))
    protected val timings = SchedulerTimings.of(deployment)
    protected var scheduler = Scheduler(deployment, timings, Term(term), snapshot, ClockReading(0, 0), StoredSizeEstimator)
        private set
    protected var nowMs = 0L
        private set

    protected var revision = term
        private set

    private var requests = 0L
    protected val commits = ArrayList<Commit>()

    /** While set, the state service takes no transaction. */
    protected var stateServiceOut = false
    private val unanswered = ArrayList<Commit>()

    /** What stands in the state service. */
    private val cells = StoredEntries()

    protected fun request() = RequestId(++requests)

    protected fun step(vararg commands: Input): List<Effect> {
        val effects = scheduler.handle(commands.toList(), ClockReading(nowMs, nowMs)).toMutableList()
        effects.filterIsInstance<Effect.Write>().forEach { write ->
            if (stateServiceOut) unanswered += write.commit else effects += carryOut(write.commit)
        }
        return effects
    }

    private fun carryOut(commit: Commit): List<Effect> {
        commits += commit
        cells.apply(commit.changes)
        return step(Input.CommitSucceeded(commit.index, ++revision))
    }

    /** The state service takes what waits for it. */
    protected fun stateServiceBack(): List<Effect> {
        stateServiceOut = false
        return unanswered.toList().also { unanswered.clear() }.flatMap(::carryOut)
    }

    /** The leader ends; a successor replays what is recorded, and nothing else is known to it. */
    protected fun failOver(): List<Effect> {
        stateServiceOut = false
        unanswered.clear()
        term = ++revision
        scheduler =
            Scheduler(
                deployment,
                timings,
                Term(term),
                LogCodec.recoveredState(storedEntries()),
                ClockReading(nowMs, nowMs),
                StoredSizeEstimator,
            )
        return step(Input.LeaseRenewed(Long.MAX_VALUE / 2), Input.MachineTypesListed(listOf(type)))
    }

    /** What stands in the state service, as a new leader reads it. */
    protected fun storedEntries(): List<KeyValueStoreProtocol.Entry> = cells.entries(revision)

    protected fun at(ms: Long) {
        nowMs = ms
    }

    protected fun settle(rounds: Int) = List(rounds) {
        nowMs += timings.roundMs
        step(Input.Tick)
    }.flatten()

    protected fun machines(count: Int, validUntilMs: Long = Long.MAX_VALUE / 2) {
        step(Input.LeaseRenewed(validUntilMs), Input.MachineTypesListed(listOf(type)))
        repeat(count) { i ->
            step(Input.HeartbeatReceived(request(), report(i)))
        }
    }

    protected fun report(machine: Int, sequenceNumber: Long = 1, token: FencingToken = FencingToken.first(term), incarnation: Long = 1) =
        Heartbeat(
            MachineId("vm-%06d".format(machine)), "10.0.0.9:1", "m4",
            if (machine % 2 ==
                0
            ) {
                "a"
            } else {
                "b"
            },
            false, incarnation, sequenceNumber,
            token, null, emptyList(),
        )

    protected fun listed(machine: Int, state: ListedState = ListedState.RUNNING) =
        ListedMachine(report(machine).machine, "10.0.0.9:1", Offer("m4", report(machine).zone, spot = false), state, ageS = 300.0)

    protected fun submit(jobs: Int, tasks: Int) = repeat(jobs) {
        val request = request()
        step(Input.Submit(request, SimulatedCluster.job(request.number.toInt(), tasks = tasks)))
    }
}
