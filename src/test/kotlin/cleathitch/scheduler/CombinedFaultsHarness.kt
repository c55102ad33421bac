package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.WorkerCommand
import cleathitch.scheduler.simulation.SimulatedCluster

/** What the traces of two troubles at once have in common: machines that remember, and orders by kind. */
abstract class CombinedFaultsHarness(maxCpus: Double? = null) : SchedulerHarness(maxCpus = maxCpus) {
    /** A machine as its reports show it. */
    protected inner class Machine(private val number: Int) {
        val id = report(number).machine
        var incarnation = 1L
        private var sequenceNumber = 1L
        var token = FencingToken.NONE
        val tasks = LinkedHashMap<AttemptId, TaskStatus>()

        fun shown() = report(number, ++sequenceNumber, token, incarnation).copy(tasks = tasks.values.toList())

        /** Its report and, unless it is [missesReplies], what it is told. */
        fun reports(missesReplies: Boolean = false): List<Effect> = step(Input.HeartbeatReceived(request(), shown())).also { effects ->
            if (!missesReplies) effects.filterIsInstance<Effect.AnswerHeartbeat>().forEach { obey(it.token, it.commands) }
        }

        /** Carries direct orders out, and tells what it shows after that. */
        fun obeys(push: Effect.SendCommands): List<Effect> {
            if (push.token >= token && push.incarnation == incarnation) obey(push.token, push.commands)
            return step(Input.ProbeAnswered(shown()))
        }

        private fun obey(newer: FencingToken, commands: List<WorkerCommand>) {
            if (newer < token) return
            token = newer
            for (order in commands) {
                when (order) {
                    is WorkerCommand.Start -> tasks.putIfAbsent(order.attempt, TaskStatus(order.attempt, TaskState.RUNNING))
                    is WorkerCommand.Stop -> tasks.computeIfPresent(order.attempt) { _, task ->
                        if (task.state ==
                            TaskState.EXITED
                        ) {
                            task
                        } else {
                            exited(order.attempt, ExitReason.STOPPED)
                        }
                    }
                    is WorkerCommand.Forget -> tasks.remove(order.attempt)
                }
            }
        }

        fun ends(exitReason: ExitReason = ExitReason.DONE) = tasks.replaceAll { id, _ -> exited(id, exitReason) }

        /** Its lease ran out: everything on it is gone. */
        fun losesLease() {
            tasks.clear()
            incarnation++
        }

        private fun exited(id: AttemptId, exitReason: ExitReason) = TaskStatus(id, TaskState.EXITED, exitReason)
    }

    protected val machine = Machine(0)
    protected fun taskOf(number: Int, index: Int = 0) = TaskId(JobId("j-%06d".format(number)), index)
    protected fun submits(number: Int, tasks: Int = 1, change: JobSpec.() -> JobSpec = { this }) =
        step(Input.Submit(request(), SimulatedCluster.job(number, tasks = tasks).change()))

    protected fun aborts(number: Int) = step(Input.Cancel(request(), taskOf(number).job))
    protected fun asks(number: Int) = reply(step(Input.Poll(request(), taskOf(number).job)))
    protected fun reply(effects: List<Effect>) = effects.filterIsInstance<Effect.Answer>().single().reply
    protected fun cancelled(effects: List<Effect>) = (reply(effects) as UserReply.Cancelled).state == JobState.CANCELLED
    protected fun pushes(effects: List<Effect>) = effects.filterIsInstance<Effect.SendCommands>()
    private fun commands(effects: List<Effect>) =
        pushes(effects).flatMap { it.commands } + effects.filterIsInstance<Effect.AnswerHeartbeat>().flatMap { it.commands }

    protected fun starts(effects: List<Effect>) = commands(effects).filterIsInstance<WorkerCommand.Start>().map { it.attempt }
    protected fun stops(effects: List<Effect>) = commands(effects).filterIsInstance<WorkerCommand.Stop>().map { it.attempt }
    protected fun returned(effects: List<Effect>) =
        effects.filterIsInstance<Effect.TerminateMachines>().flatMapTo(HashSet()) { it.machines }

    protected fun lead() {
        step(Input.LeaseRenewed(Long.MAX_VALUE / 2), Input.MachineTypesListed(listOf(type)))
        repeat(2) { machine.reports() }
    }

    /** One task of job [number] runs on the machine. */
    protected fun runs(number: Int, tasks: Int = 1): List<AttemptId> {
        val effects = submits(number, tasks) + settle(rounds = 2)
        pushes(effects).forEach { machine.obeys(it) }
        return machine.tasks.keys.filter { it.task.job == taskOf(number).job }
    }

    /** Some report periods with a report of [others] in each, by default the machine's own. */
    protected fun periods(count: Int, others: List<Machine> = listOf(machine), missesReplies: Boolean = false) = (1..count).flatMap {
        others.flatMap { it.reports(missesReplies) } + settle((deployment.reportS * 1000 / timings.roundMs).toInt())
    }

    protected val leasePeriods get() = (deployment.leaseS / deployment.reportS).toInt() + 1
}
