package cleathitch.core

import cleathitch.state.StoredCodec

/** One engine that leads, whose commits succeed at once, and what a test feeds it with. */
abstract class EngineTrace(private val term: Long = 7, snapshot: Snapshot = Snapshot.EMPTY) {
    protected val type = MachineType("m4", 4.0, 0.0, 16.0, 50.0, 1.0, 1.0, 0.4, 5.0, listOf("a", "b"))
    protected val deployment = World.standard.copy(teams = mapOf("red" to Team("red", 8.0, null, 0.0, null)))
    protected val tuning = Tuning.of(deployment)
    protected val engine = Engine(deployment, tuning, Term(term), snapshot, Moment(0, 0), StoredCodec)
    protected var nowMs = 0L
        private set

    protected var revision = term
        private set

    private var requests = 0L
    protected val commits = ArrayList<Commit>()

    protected fun request() = RequestId(++requests)

    protected fun step(vararg commands: Command): List<Effect> {
        val effects = engine.handle(commands.toList(), Moment(nowMs, nowMs)).toMutableList()
        effects.filterIsInstance<Effect.Write>().forEach { write ->
            commits += write.commit
            effects += step(Command.Committed(write.commit.seq, ++revision))
        }
        return effects
    }

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

    protected fun submit(jobs: Int, tasks: Int) = repeat(jobs) {
        val request = request()
        step(Command.Submit(request, World.job(request.number.toInt(), tasks = tasks)))
    }
}
