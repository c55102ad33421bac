package cleathitch.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What the traces of two troubles at once have in common: machines that remember, and orders by kind. */
abstract class MeetingTrace(maxCpus: Double? = null) : EngineTrace(maxCpus = maxCpus) {
    /** A machine as its reports show it. */
    protected inner class Machine(private val number: Int) {
        val id = report(number).machine
        var session = 1L
        private var seq = 1L
        var version = OrderVersion.NONE
        val tasks = LinkedHashMap<AttemptId, ReportedTask>()

        fun shown() = report(number, ++seq, version, session).copy(tasks = tasks.values.toList())

        /** Its report and, unless it is [deaf], what it is told. */
        fun reports(deaf: Boolean = false): List<Effect> = step(Command.Reported(request(), shown())).also { effects ->
            if (!deaf) effects.filterIsInstance<Effect.AnswerReport>().forEach { obey(it.version, it.orders) }
        }

        /** Carries direct orders out, and tells what it shows after that. */
        fun obeys(push: Effect.Push): List<Effect> {
            if (push.version >= version && push.session == session) obey(push.version, push.orders)
            return step(Command.Inspected(shown()))
        }

        private fun obey(newer: OrderVersion, orders: List<Order>) {
            if (newer < version) return
            version = newer
            for (order in orders) {
                when (order) {
                    is Order.Start -> tasks.putIfAbsent(order.attempt, ReportedTask(order.attempt, TaskState.RUNNING))
                    is Order.Stop -> tasks.computeIfPresent(order.attempt) { _, task ->
                        if (task.state ==
                            TaskState.EXITED
                        ) {
                            task
                        } else {
                            exited(order.attempt, ExitReason.STOPPED)
                        }
                    }
                    is Order.Forget -> tasks.remove(order.attempt)
                }
            }
        }

        fun ends(why: ExitReason = ExitReason.DONE) = tasks.replaceAll { id, _ -> exited(id, why) }

        /** Its lease ran out: everything on it is gone. */
        fun losesLease() {
            tasks.clear()
            session++
        }

        private fun exited(id: AttemptId, why: ExitReason) = ReportedTask(id, TaskState.EXITED, why)
    }

    protected val machine = Machine(0)
    protected fun taskOf(number: Int, index: Int = 0) = TaskId(JobId("j-%06d".format(number)), index)
    protected fun submits(number: Int, tasks: Int = 1, change: JobSpec.() -> JobSpec = { this }) =
        step(Command.Submit(request(), World.job(number, tasks = tasks).change()))

    protected fun aborts(number: Int) = step(Command.Abort(request(), taskOf(number).job))
    protected fun asks(number: Int) = reply(step(Command.Poll(request(), taskOf(number).job)))
    protected fun reply(effects: List<Effect>) = effects.filterIsInstance<Effect.Answer>().single().reply
    protected fun cancelled(effects: List<Effect>) = (reply(effects) as UserReply.Aborted).state == ShownState.CANCELLED
    protected fun pushes(effects: List<Effect>) = effects.filterIsInstance<Effect.Push>()
    private fun orders(effects: List<Effect>) =
        pushes(effects).flatMap { it.orders } + effects.filterIsInstance<Effect.AnswerReport>().flatMap { it.orders }

    protected fun starts(effects: List<Effect>) = orders(effects).filterIsInstance<Order.Start>().map { it.attempt }
    protected fun stops(effects: List<Effect>) = orders(effects).filterIsInstance<Order.Stop>().map { it.attempt }
    protected fun returned(effects: List<Effect>) = effects.filterIsInstance<Effect.Return>().flatMapTo(HashSet()) { it.machines }

    protected fun lead() {
        step(Command.LeaseHeld(Long.MAX_VALUE / 2), Command.TypesListed(listOf(type)))
        repeat(2) { machine.reports() }
    }

    /** One task of job [number] runs on the machine. */
    protected fun runs(number: Int, tasks: Int = 1): List<AttemptId> {
        val effects = submits(number, tasks) + settle(rounds = 2)
        pushes(effects).forEach { machine.obeys(it) }
        return machine.tasks.keys.filter { it.task.job == taskOf(number).job }
    }

    /** Some report periods with a report of [others] in each, by default the machine's own. */
    protected fun periods(count: Int, others: List<Machine> = listOf(machine), deaf: Boolean = false) = (1..count).flatMap {
        others.flatMap { it.reports(deaf) } + settle((deployment.reportS * 1000 / tuning.roundMs).toInt())
    }

    protected val leasePeriods get() = (deployment.leaseS / deployment.reportS).toInt() + 1
}

/** Cancellations that meet other troubles. */
class CancellationMeetingsTest : MeetingTrace() {
    /**
     * Whatever comes next, a cancelled task is gone in time: the old leader's grace begins where its lease ends, which is
     * before its successor confirms anything; the last report that it answers renews a worker's lease.
     */
    @Test
    fun `grace, lease and margins end before cancelled tasks must be gone, whatever the report period`() {
        for (reportS in listOf(1.0, 3.0, 6.0, 10.0)) {
            for (cancelS in listOf(deployment.leaseS + 12, 64.0, 120.0)) {
                val tuning = Tuning.of(deployment.copy(reportS = reportS, cancelS = cancelS))
                val surelyGoneMs = tuning.graceMs + deployment.leaseS * 1000 + tuning.leaseMarginMs
                assertTrue(surelyGoneMs < cancelS * 1000) { "$surelyGoneMs ms of $cancelS s with reports every $reportS s" }
            }
        }
    }

    /** The gap: seconds later nobody may answer any machine. Without the push only its lease would end the task. */
    @Test
    fun `a cancellation goes to the machine with its commit, before its next report`() {
        lead()
        val (attempt) = runs(1)
        stateServiceOut = true
        val asked = aborts(1)
        assertEquals(emptyList<Effect>(), asked.filter { it is Effect.Answer || it is Effect.Push })
        val confirmed = stateServiceBack()
        assertTrue(cancelled(confirmed))
        assertEquals(listOf(attempt), stops(confirmed))
    }

    /** Its session isn't known yet, and an order without it would be refused: it is asked first. */
    @Test
    fun `a new leader carries a cancellation to a machine that hasn't reported to it`() {
        lead()
        val (attempt) = runs(1)
        takeOver()
        step(Command.MachinesListed(listOf(listed(0))))
        val confirmed = aborts(1)
        assertTrue(cancelled(confirmed))
        assertEquals(listOf(machine.id), confirmed.filterIsInstance<Effect.Inspect>().map { it.machine })
        assertEquals(listOf(attempt), stops(step(Command.Inspected(machine.shown()))))
    }

    /** The stop's answer is lost, or the stop itself: the next report's answer repeats it. */
    @Test
    fun `a stop that didn't arrive is sent again until the task is shown gone`() {
        lead()
        val (attempt) = runs(1)
        aborts(1)
        assertEquals(listOf(attempt), stops(machine.reports(deaf = true)))
        assertEquals(listOf(attempt), stops(machine.reports()))
        assertEquals(emptyList<AttemptId>(), stops(machine.reports()))
    }

    /**
     * The start is held up on its way, the job is cancelled, and the machine, which shows nothing of it, goes on: the
     * version of the stop shuts the start out.
     */
    @Test
    fun `a start that is still on its way when its job is cancelled starts nothing`() {
        lead()
        val late = pushes(submits(1) + settle(rounds = 2)).single()
        aborts(1)
        machine.reports()
        machine.obeys(late)
        assertEquals(emptySet<AttemptId>(), machine.tasks.keys)
    }

    /** Many machines at once: their stops go out a few at a time and don't bury the leader. */
    @Test
    fun `the stops of a large job are spread over rounds, and none is left out`() {
        val fleet = List(150) { Machine(it) }
        step(Command.LeaseHeld(Long.MAX_VALUE / 2), Command.TypesListed(listOf(type)))
        repeat(2) { fleet.forEach { it.reports() } }
        val started = submits(1, tasks = 300) { copy(kind = JobKind.SERVICE) } + settle(rounds = 2)
        pushes(started).forEach { push -> fleet.first { it.id == push.machine }.obeys(push) }
        val atOnce = pushes(aborts(1)).size
        assertTrue(atOnce in 1..50) { "$atOnce at once" }
        assertEquals(150, atOnce + pushes(settle(rounds = 8)).size)
    }

    /** In either order there is one state for good, and nothing is told before its record stands. */
    @Test
    fun `a cancellation, a question and a repeated submission meet the end of the last task`() {
        lead()
        runs(1)
        machine.ends()
        stateServiceOut = true
        val spec = World.job(1, tasks = 1)
        val effects = step(
            Command.Reported(request(), machine.shown()),
            Command.Abort(request(), spec.id),
            Command.Poll(request(), spec.id),
            Command.Submit(request(), spec),
        )
        val early = effects.filterIsInstance<Effect.Answer>().map { it.reply }
        assertTrue(early.none { it is UserReply.Aborted || it is UserReply.Status && it.state == ShownState.DONE }) { "$early" }
        assertEquals(ShownState.DONE, (reply(stateServiceBack()) as UserReply.Aborted).state)
        takeOver()
        assertEquals(ShownState.DONE, (asks(1) as UserReply.Status).state)
        assertEquals(ShownState.DONE, (reply(aborts(1)) as UserReply.Aborted).state)
    }

    @Test
    fun `a result that comes after the cancellation leaves the job cancelled, also for a successor`() {
        lead()
        runs(1)
        stateServiceOut = true
        aborts(1)
        machine.ends()
        machine.reports()
        assertTrue(cancelled(stateServiceBack()))
        settle(rounds = 2)
        takeOver()
        assertEquals(ShownState.CANCELLED, (asks(1) as UserReply.Status).state)
        assertTrue(cancelled(aborts(1)))
    }

    /** The record was never written: nobody was told, and the successor knows nothing of it. */
    @Test
    fun `an end or a cancellation that isn't recorded is told by nobody`() {
        lead()
        runs(1, tasks = 2)
        machine.ends()
        stateServiceOut = true
        val told = (machine.reports() + aborts(1)).filterIsInstance<Effect.Answer>()
        assertEquals(emptyList<Effect>(), told)
        assertTrue((asks(1) as UserReply.Status).state in setOf(ShownState.QUEUED, ShownState.RUNNING))
        takeOver()
        assertTrue((asks(1) as UserReply.Status).state in setOf(ShownState.QUEUED, ShownState.RUNNING))
    }
}

/** Leaders that change while something else happens. */
class TakeOverMeetingsTest : MeetingTrace() {
    /** The first task's result is recorded and cleared from its machine; the second ends under another leader. */
    @Test
    fun `a job of two tasks whose ends lie on both sides of a take-over is done once both are`() {
        lead()
        val (first, second) = runs(1, tasks = 2)
        machine.tasks[first] = ReportedTask(first, TaskState.EXITED, ExitReason.DONE)
        machine.reports()
        settle(rounds = 1)
        machine.reports()
        assertEquals(setOf(second), machine.tasks.keys)
        takeOver()
        machine.reports()
        assertEquals(1, (asks(1) as UserReply.Status).done)
        machine.ends()
        machine.reports()
        settle(rounds = 1)
        assertEquals(ShownState.DONE, (asks(1) as UserReply.Status).state)
    }

    /** The task ended and is done; its other attempt, which the records still show, isn't started once more. */
    @Test
    fun `what another attempt has done isn't started again after a take-over`() {
        lead()
        val (attempt) = runs(1, tasks = 2)
        val older = AttemptId(attempt.task, 77)
        machine.tasks[older] = ReportedTask(older, TaskState.EXITED, ExitReason.DONE)
        step(Command.Reported(request(), machine.shown()))
        settle(rounds = 2)
        machine.tasks.clear()
        takeOver()
        assertEquals(emptyList<AttemptId>(), starts(machine.reports()).filter { it.task == attempt.task })
    }

    @Test
    fun `after all nodes were away for longer than a lease, what ran is started again where it was, once`() {
        lead()
        val (attempt) = runs(1)
        at(nowMs + (deployment.leaseS * 1500).toLong())
        machine.losesLease()
        takeOver()
        assertEquals(listOf(attempt), starts(machine.reports()))
        assertEquals(emptyList<AttemptId>(), starts(machine.reports() + settle(rounds = 4)))
    }

    /** Its session began after the report was sent, and a successor hears the held report first. */
    @Test
    fun `a report held until a new leader has acted proves nothing about what was started since`() {
        lead()
        val held = machine.shown()
        val (attempt) = runs(1)
        takeOver()
        step(Command.Reported(request(), held))
        val other = Machine(2)
        val effects = periods(2, others = listOf(other))
        assertEquals(emptyList<AttemptId>(), starts(effects).filter { it.task == attempt.task && it != attempt })
        assertTrue(machine.reports().any { it is Effect.AnswerReport })
    }

    /** Each inherits leases anew, for longer than it leads itself: the cloud's word is what frees the tasks. */
    @Test
    fun `leaders of a dozen seconds each bring back the task of a machine that died`() {
        lead()
        val (attempt) = runs(1)
        val other = Machine(2)
        val again = (1..4).flatMap {
            takeOver()
            step(Command.MachinesListed(listOf(listed(0), listed(2))))
            val effects = periods(4, others = listOf(other))
            effects + returned(effects).toList().let { if (it.isEmpty()) emptyList() else step(Command.Returned(it)) + settle(rounds = 2) }
        }
        assertEquals(attempt.task, starts(again).firstOrNull()?.task)
    }

    /** It may run there until the old leader's last answer has surely run out, so it is started nowhere else. */
    @Test
    fun `tasks on machines that don't hear the new leader are left alone while they run`() {
        lead()
        val (attempt) = runs(1)
        takeOver()
        val other = Machine(2)
        val effects = (1..leasePeriods * 2).flatMap { machine.reports(deaf = true) + periods(1, others = listOf(other)) }
        assertEquals(emptyList<AttemptId>(), starts(effects).filter { it.task == attempt.task && it != attempt })
    }

    /** It is listed as running and never again: counted as on its way it would keep others from being rented. */
    @Test
    fun `a machine taken before its first report doesn't stand for room for ever`() {
        lead()
        takeOver()
        step(Command.MachinesListed(listOf(listed(4))))
        assertTrue(MachineId("vm-000004") in returned(periods(leasePeriods + 6)))
    }
}

/** Outages of the state service that outlast leases. */
class OutageMeetingsTest : MeetingTrace() {
    /** Their tasks ended with their leases and wait to start again there; idle only by the clock, they were returned. */
    @Test
    fun `machines whose leases ended in an outage aren't returned as idle when it is over`() {
        val fleet = List(6) { Machine(it) }
        step(Command.LeaseHeld(20_000), Command.TypesListed(listOf(type)))
        repeat(2) { fleet.forEach { it.reports() } }
        val started = submits(1, tasks = 12) { copy(kind = JobKind.SERVICE) } + settle(rounds = 2)
        pushes(started).forEach { push -> fleet.first { it.id == push.machine }.obeys(push) }
        stateServiceOut = true
        periods((deployment.cancelS / deployment.reportS).toInt() + 10, others = fleet)
        fleet.forEach { it.losesLease() }
        val back = step(Command.LeaseHeld(Long.MAX_VALUE / 2)) + stateServiceBack() + periods(3, others = fleet)
        assertEquals(emptySet<MachineId>(), returned(back))
        assertEquals(12, starts(back).mapTo(HashSet()) { it.task }.size)
    }
}

/** The team's limit is two tasks. */
class LimitMeetingsTest : MeetingTrace(maxCpus = 4.0) {
    /**
     * The cancelled tasks' machine can't be asked after the change of leader: they count until they are surely gone, and
     * then the team gets its room again.
     */
    @Test
    fun `a team at its limit waits for cancelled tasks on a machine that nobody hears, and no longer`() {
        lead()
        runs(1, tasks = 2)
        takeOver()
        assertTrue(cancelled(aborts(1)))
        submits(2)
        val other = Machine(2)
        val bound = tuning.graceMs + (deployment.leaseS * 1000).toLong() + tuning.leaseMarginMs
        val periodMs = (deployment.reportS * 1000).toLong()
        assertEquals(emptyList<AttemptId>(), starts(periods((bound / periodMs - 1).toInt(), others = listOf(other))))
        assertEquals(listOf(taskOf(2)), starts(periods(6, others = listOf(other))).map { it.task }.distinct())
    }

    /** The starts are on their way: until the machine shows a version above theirs they may yet begin, and count. */
    @Test
    fun `cancelled starts that no report shows count until they are shut out`() {
        lead()
        submits(1, tasks = 2)
        settle(rounds = 2)
        aborts(1)
        submits(2)
        assertEquals(emptyList<AttemptId>(), starts(machine.reports(deaf = true) + settle(rounds = 2)).filter { it.task == taskOf(2) })
        machine.reports()
        assertEquals(listOf(taskOf(2)), starts(periods(2)).map { it.task }.distinct())
    }

    /** It shows no version of ours as it hears nothing, but its new session shuts out all that was sent before. */
    @Test
    fun `a cancelled task on a machine that hears nothing counts until its session ends`() {
        lead()
        runs(1, tasks = 2)
        aborts(1)
        submits(2)
        repeat(2) {
            assertEquals(
                emptyList<AttemptId>(),
                starts(machine.reports(deaf = true) + settle(rounds = 2)).filter {
                    it.task ==
                        taskOf(2)
                },
            )
        }
        machine.losesLease()
        machine.reports(deaf = true)
        assertEquals(listOf(taskOf(2)), starts(periods(2, others = listOf(Machine(2)))).map { it.task }.distinct())
    }
}

/** Machines that only half of the messages reach, and zones that lose them. */
class CutMachinesTest : MeetingTrace() {
    private fun answersOnly(machines: List<Machine>, count: Int) = (1..count).flatMap {
        machines.flatMap { step(Command.Inspected(it.shown())) } + settle((deployment.reportS * 1000 / tuning.roundMs).toInt())
    }

    /** Direct orders don't renew leases: what was started there died with the next lease. */
    @Test
    fun `a machine whose reports reach nobody gets nothing new, though it answers`() {
        lead()
        answersOnly(listOf(machine), count = 4)
        assertEquals(emptyList<AttemptId>(), starts(submits(1) + answersOnly(listOf(machine), count = 2)))
    }

    /** They are as little to blame as machines that say nothing; all went back at the same moment. */
    @Test
    fun `a fleet whose reports reach nobody isn't returned when its leases end`() {
        val fleet = List(12) { Machine(it) }
        step(Command.LeaseHeld(Long.MAX_VALUE / 2), Command.TypesListed(listOf(type)))
        repeat(2) { fleet.forEach { it.reports() } }
        submits(1, tasks = 24) { copy(kind = JobKind.SERVICE) }
        val effects = settle(rounds = 2)
        pushes(effects).forEach { push -> fleet.first { it.id == push.machine }.obeys(push) }
        assertEquals(emptySet<MachineId>(), returned(answersOnly(fleet, count = leasePeriods + 3)))
    }

    @Test
    fun `a single machine whose reports reach nobody is returned once its lease is over`() {
        val fleet = List(12) { Machine(it) }
        step(Command.LeaseHeld(Long.MAX_VALUE / 2), Command.TypesListed(listOf(type)))
        repeat(2) { fleet.forEach { it.reports() } }
        submits(1, tasks = 24) { copy(kind = JobKind.SERVICE) }
        pushes(settle(rounds = 2)).forEach { push -> fleet.first { it.id == push.machine }.obeys(push) }
        val effects = (1..leasePeriods + 3).flatMap { step(Command.Inspected(fleet[0].shown())) + periods(1, others = fleet.drop(1)) }
        assertEquals(setOf(fleet[0].id), returned(effects))
    }

    /**
     * The machine has room for two of three. As long as one task may run there, the third must join it, though another zone
     * has room; with the last machine's return the job is free again.
     */
    @Test
    fun `an array bound to one zone goes elsewhere once nothing of it is left there`() {
        lead()
        val other = Machine(1)
        periods(2, others = listOf(machine, other))
        val started = submits(1, tasks = 3) { copy(oneZone = true) } + settle(rounds = 2)
        val holder = if (pushes(started).single().machine == machine.id) machine else other
        val free = if (holder === machine) other else machine
        pushes(started).forEach { holder.obeys(it) }
        val lost = periods(6, others = listOf(free))
        assertEquals(emptyList<AttemptId>(), starts(lost))
        assertEquals(setOf(holder.id), returned(lost))
        val after = step(Command.Returned(listOf(holder.id))) + periods(2, others = listOf(free))
        assertEquals(2, starts(after).mapTo(HashSet()) { it.task }.size)
    }
}
