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

/** A [SchedulerHarness] for scenarios that combine several faults: its machines execute commands, and jobs are identified by number. */
abstract class CombinedFaultsHarness(maxCpus: Double? = null) : SchedulerHarness(maxCpus = maxCpus) {
    protected val machine = fakeMachine(0)

    /** The number of heartbeat periods after which a worker's lease has certainly expired. */
    protected val periodsUntilLeaseExpiry get() = (deployment.workerLeaseS / deployment.heartbeatPeriodS).toInt() + 1

    protected fun fakeMachine(number: Int) = FakeMachine(heartbeat(number))

    protected fun fleet(size: Int) = List(size) { fakeMachine(it) }

    /** Becomes leader and answers two heartbeats of each of [machines]. */
    protected fun becomeLeaderWithFleet(machines: List<FakeMachine> = listOf(machine), leaseUntilMs: Long = NO_EXPIRY_MS) {
        becomeLeader(leaseUntilMs)
        repeat(2) { machines.forEach { it.sendHeartbeat() } }
    }

    /** Sends the machine's next heartbeat; the machine receives the answer unless it [missesReplies]. */
    protected fun FakeMachine.sendHeartbeat(missesReplies: Boolean = false): List<Effect> =
        sendHeartbeat(heartbeat()).also { effects -> if (!missesReplies) effects.heartbeatAnswers().forEach { receive(it) } }

    protected fun FakeMachine.answerProbe() = step(Input.ProbeAnswered(heartbeat()))

    /** Delivers direct calls to the machines of [fleet], which execute and answer them. */
    protected fun deliver(calls: List<Effect.SendCommands>, fleet: List<FakeMachine> = listOf(machine)) = calls.forEach { call ->
        val called = fleet.first { it.id == call.machine }
        called.receive(call)
        called.answerProbe()
    }

    protected fun taskId(job: Int, index: Int = 0) = TaskId(JobId("j-%06d".format(job)), index)

    protected fun submit(job: Int, tasks: Int = 1, change: JobSpec.() -> JobSpec = { this }) =
        step(Input.Submit(request(), SimulatedCluster.jobSpec(job, tasks = tasks).change()))

    protected fun cancel(job: Int) = step(Input.Cancel(request(), taskId(job).job))

    protected fun poll(job: Int) = step(Input.Poll(request(), taskId(job).job)).userReplies().single()

    protected fun statusOf(job: Int) = poll(job) as UserReply.Status

    protected fun confirmsCancellation(effects: List<Effect>) =
        (effects.userReplies().single() as UserReply.Cancelled).state == JobState.CANCELLED

    /** Submits [job], starts its tasks on [machine] and returns their attempts. */
    protected fun startJob(job: Int, tasks: Int = 1): List<AttemptId> {
        val effects = submit(job, tasks) + runRounds(2)
        deliver(effects.directCalls())
        return machine.attempts.filter { it.task.job == taskId(job).job }
    }

    /** Advances the clock by [count] heartbeat periods; each of [machines] sends one heartbeat per period. */
    protected fun runPeriods(count: Int, machines: List<FakeMachine> = listOf(machine)) = (1..count).flatMap {
        machines.flatMap { it.sendHeartbeat() } + runRounds(roundsPerHeartbeat)
    }
}
