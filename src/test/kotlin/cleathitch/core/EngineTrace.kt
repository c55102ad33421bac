package cleathitch.core

import cleathitch.protocol.StateWire
import cleathitch.state.StoredCodec

/** One engine that leads, whose commits succeed at once unless a test holds them, and what a test feeds it with. */
abstract class EngineTrace(private var term: Long = 7, snapshot: Snapshot = Snapshot.EMPTY, maxCpus: Double? = null) {
    protected val type = MachineType("m4", 4.0, 0.0, 16.0, 50.0, 1.0, 1.0, 0.4, 5.0, listOf("a", "b"))
    protected val deployment = World.standard.copy(teams = mapOf("red" to Team("red", 8.0, maxCpus, 0.0, null)))
    protected val tuning = Tuning.of(deployment)
    protected var engine = Engine(deployment, tuning, Term(term), snapshot, Moment(0, 0), StoredCodec)
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
    private val cells = StoredCells()

    protected fun request() = RequestId(++requests)

    protected fun step(vararg commands: Command): List<Effect> {
        val effects = engine.handle(commands.toList(), Moment(nowMs, nowMs)).toMutableList()
        effects.filterIsInstance<Effect.Write>().forEach { write ->
            if (stateServiceOut) unanswered += write.commit else effects += carryOut(write.commit)
        }
        return effects
    }

    private fun carryOut(commit: Commit): List<Effect> {
        commits += commit
        cells.apply(commit.changes)
        return step(Command.Committed(commit.seq, ++revision))
    }

    /** The state service takes what waits for it. */
    protected fun stateServiceBack(): List<Effect> {
        stateServiceOut = false
        return unanswered.toList().also { unanswered.clear() }.flatMap(::carryOut)
    }

    /** The leader ends; a successor replays what is recorded, and nothing else is known to it. */
    protected fun takeOver(): List<Effect> {
        stateServiceOut = false
        unanswered.clear()
        term = ++revision
        engine = Engine(deployment, tuning, Term(term), StoredCodec.snapshot(storedEntries()), Moment(nowMs, nowMs), StoredCodec)
        return step(Command.LeaseHeld(Long.MAX_VALUE / 2), Command.TypesListed(listOf(type)))
    }

    /** What stands in the state service, as a new leader reads it. */
    protected fun storedEntries(): List<StateWire.Entry> = cells.entries(revision)

    protected fun at(ms: Long) {
        nowMs = ms
    }

    protected fun settle(rounds: Int) = List(rounds) {
        nowMs += tuning.roundMs
        step(Command.Tick)
    }.flatten()

    protected fun machines(count: Int, heldUntilMs: Long = Long.MAX_VALUE / 2) {
        step(Command.LeaseHeld(heldUntilMs), Command.TypesListed(listOf(type)))
        repeat(count) { i ->
            step(Command.Reported(request(), report(i)))
        }
    }

    protected fun report(machine: Int, seq: Long = 1, version: OrderVersion = OrderVersion.first(term), session: Long = 1) = Report(
        MachineId("vm-%06d".format(machine)), "10.0.0.9:1", "m4", if (machine % 2 == 0) "a" else "b", false, session, seq,
        version, null, emptyList(),
    )

    protected fun listed(machine: Int, state: ListedState = ListedState.RUNNING) =
        ListedMachine(report(machine).machine, "10.0.0.9:1", Offer("m4", report(machine).zone, spot = false), state, ageS = 300.0)

    protected fun submit(jobs: Int, tasks: Int) = repeat(jobs) {
        val request = request()
        step(Command.Submit(request, World.job(request.number.toInt(), tasks = tasks)))
    }
}
