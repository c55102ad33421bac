package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.simulation.SimulatedCluster

/** A [SchedulerHarness] for scenarios in which several faults meet: with machines that execute commands, and jobs by number. */
abstract class CombinedFaultsHarness(maxCpus: Double? = null) : SchedulerHarness(maxCpus = maxCpus) {
    protected val machine = fakeMachine(0)

    /** Heartbeat intervals until a worker's lease has surely expired. */
    protected val intervalsPerLease get() = (deployment.leaseS / deployment.reportS).toInt() + 1

    protected fun fakeMachine(number: Int) = FakeMachine(heartbeat(number))

    protected fun fleet(size: Int) = List(size) { fakeMachine(it) }

    /** Leads, with two heartbeats of each of [machines] answered. */
    protected fun lead(machines: List<FakeMachine> = listOf(machine), leaseUntilMs: Long = FOREVER_MS) {
        becomeLeader(leaseUntilMs)
        repeat(2) { machines.forEach { it.sendHeartbeat() } }
    }

    /** A heartbeat of the machine; it receives the answer unless it [missesReplies]. */
    protected fun FakeMachine.sendHeartbeat(missesReplies: Boolean = false): List<Effect> =
        sendHeartbeat(heartbeat()).also { effects -> if (!missesReplies) effects.heartbeatAnswers().forEach { receive(it) } }

    protected fun FakeMachine.answerProbe() = step(Input.ProbeAnswered(heartbeat()))

    /** Each machine of [fleet] executes the direct calls to it, and answers them. */
    protected fun deliver(calls: List<Effect.SendCommands>, fleet: List<FakeMachine> = listOf(machine)) = calls.forEach { call ->
        val called = fleet.first { it.id == call.machine }
        called.receive(call)
        called.answerProbe()
    }

    protected fun taskOf(job: Int, index: Int = 0) = TaskId(JobId("j-%06d".format(job)), index)

    protected fun submit(job: Int, tasks: Int = 1, change: JobSpec.() -> JobSpec = { this }) =
        step(Input.Submit(request(), SimulatedCluster.job(job, tasks = tasks).change()))

    protected fun cancel(job: Int) = step(Input.Cancel(request(), taskOf(job).job))

    protected fun poll(job: Int) = step(Input.Poll(request(), taskOf(job).job)).userReplies().single()

    protected fun statusOf(job: Int) = poll(job) as UserReply.Status

    protected fun confirmsCancellation(effects: List<Effect>) =
        (effects.userReplies().single() as UserReply.Cancelled).state == JobState.CANCELLED

    /** Submits [job] and starts its tasks on the machine. */
    protected fun startJob(job: Int, tasks: Int = 1): List<AttemptId> {
        val effects = submit(job, tasks) + runRounds(2)
        deliver(effects.directCalls())
        return machine.attempts.filter { it.task.job == taskOf(job).job }
    }

    /** Lets [count] heartbeat intervals pass with a heartbeat of each of [machines] in each. */
    protected fun runIntervals(count: Int, machines: List<FakeMachine> = listOf(machine)) = (1..count).flatMap {
        machines.flatMap { it.sendHeartbeat() } + runRounds(roundsPerHeartbeat)
    }
}
