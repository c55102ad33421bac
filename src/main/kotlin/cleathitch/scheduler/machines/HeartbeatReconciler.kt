package cleathitch.scheduler.machines

import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.StopCause
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus

/**
 * Updates the job table from the task statuses in heartbeats: records which tasks are completed and which attempts have
 * terminated, and counts the task failures of each machine. Confined to the leader's event loop.
 */
internal class HeartbeatReconciler(
    private val context: SchedulerContext,
    private val deployment: Deployment,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    private val jobTable: JobTable,
    private val workerReconciler: WorkerReconciler,
    private val failureDetector: FailureDetector,
) {
    /** Applies the task states in [heartbeat], then handles the machine's attempts that are missing from it. */
    fun reconcile(machine: Machine, heartbeat: Heartbeat) {
        for (task in heartbeat.tasks) reconcileTask(machine, task)
        val reported = heartbeat.tasks.mapTo(HashSet()) { it.attempt }
        for (attempt in jobTable.attemptsOn(machine.id).toList()) {
            if (attempt.id !in reported) reconcileMissing(machine, attempt)
        }
        workerReconciler.removeCommittedOutcomes(machine.id, reported)
        if (jobTable.attemptsOn(machine.id).isNotEmpty()) machine.recordUse(context.now.monotonicMs)
    }

    /** Records that the attempt can't be running any more, which allows its task to be started again. */
    fun recordTermination(attempt: Attempt) {
        val event = Event.AttemptTerminated(attempt.id.task.job, attempt.id.task.index, attempt.id.number)
        workerReconciler.recordOutcome(attempt.machine, attempt.id, context.append(event))
        val machine = inventory.machines[attempt.machine] ?: return
        if (jobTable.attemptsOn(machine.id).isEmpty()) machine.recordUse(context.now.monotonicMs)
    }

    /** Records the termination of all attempts on the machine. */
    fun recordTerminationOfAll(machine: MachineId) {
        jobTable.attemptsOn(machine).toList().forEach(::recordTermination)
    }

    private fun reconcileTask(machine: Machine, task: TaskStatus) {
        val attempt = jobTable.attempt(task.attempt)?.takeIf { it.machine == machine.id }
        if (attempt != null) {
            recordState(machine, attempt, task)
        } else if (task.state == TaskState.EXITED && task.exitReason == ExitReason.DONE) {
            // Results are stored outside the machine, so the task is complete even if this attempt isn't the live one.
            jobTable.job(task.attempt.task.job)?.let { recordCompletion(machine, it, task.attempt) }
        }
    }

    private fun reconcileMissing(machine: Machine, attempt: Attempt) {
        attempt.observe(null)
        // An attempt on an unreachable machine is abandoned because the machine may never receive the start command. Otherwise the
        // task would wait until the network partition heals.
        val isAbandoned = attempt.stopCause != null || !failureDetector.isReachable(machine)
        if (!isAbandoned || !workerReconciler.isTerminationConfirmed(attempt, machine)) return
        context.logEvent(LogLevel.DEBUG) { "event=attempt_missing ${describeEvidence(attempt, machine)}" }
        recordTermination(attempt)
    }

    private fun recordState(machine: Machine, attempt: Attempt, task: TaskStatus) {
        attempt.observe(task.state)
        when (task.state) {
            TaskState.FETCHING -> Unit
            TaskState.WAITING, TaskState.RUNNING, TaskState.SAVING -> recordRunning(machine, attempt)
            TaskState.EXITED -> recordExitIfConfirmed(machine, attempt, task)
        }
    }

    private fun recordRunning(machine: Machine, attempt: Attempt) {
        machine.recordImage(attempt.job.spec.image, attempt.job.spec.imageGb)
        if (attempt.runningSinceMs != null) return
        attempt.recordRunning(context.now.monotonicMs)
        context.logEvent(LogLevel.DEBUG) { "event=attempt_running attempt=${attempt.id} machine=${machine.id}" }
    }

    /** A completed task stays completed even if the heartbeat is a delayed one; any other exit has to be confirmed. */
    private fun recordExitIfConfirmed(machine: Machine, attempt: Attempt, task: TaskStatus) {
        if (task.exitReason == ExitReason.DONE || workerReconciler.isExitConfirmed(attempt, machine)) {
            return recordExit(machine, attempt, task)
        }
        context.logEvent(LogLevel.DEBUG) { "event=exit_unconfirmed ${describeEvidence(attempt, machine)} reason=${task.exitReason}" }
    }

    private fun recordExit(machine: Machine, attempt: Attempt, task: TaskStatus) {
        val job = attempt.job
        when (task.exitReason) {
            ExitReason.DONE -> if (!job.isTaskCompleted(attempt.id.task.index)) return recordCompletion(machine, job, attempt.id)
            ExitReason.ERROR -> {
                machine.recordTaskFailure()
                delayRetry(job)
                context.logEvent(LogLevel.INFO) {
                    "event=attempt_failed attempt=${attempt.id} machine=${machine.id} failures_on_machine=${machine.taskFailures}"
                }
            }
            ExitReason.UNKNOWN -> delayRetry(job)
            ExitReason.NO_ROOM -> machine.recordFull(context.now.monotonicMs + (deployment.heartbeatPeriodS * 1000).toLong())
            ExitReason.BUSY, ExitReason.STOPPED, ExitReason.PEERS_MISSING, null -> Unit
        }
        if (task.exitReason != ExitReason.DONE) {
            context.logEvent(LogLevel.DEBUG) {
                "event=attempt_exited ${describeEvidence(attempt, machine)} reason=${task.exitReason}"
            }
        }
        recordTermination(attempt)
    }

    /** Records that [attempt] has produced the task's result, and stops the task's live attempt if that is a different one. */
    private fun recordCompletion(machine: Machine, job: Job, attempt: AttemptId) {
        val index = attempt.task.index
        if (job.isTaskCompleted(index)) return
        context.logEvent(LogLevel.DEBUG) { "event=task_completed attempt=$attempt machine=${machine.id}" }
        workerReconciler.recordOutcome(machine.id, attempt, context.append(Event.TaskCompleted(job.id, index, attempt.number)))
        job.recordSuccess()
        job.liveAttempts[index]?.requestStop(StopCause.SUPERSEDED)
        if (jobTable.attemptsOn(machine.id).isEmpty()) machine.recordUse(context.now.monotonicMs)
        job.stopIfTerminal()
        if (job.completedIndex != null) context.logEvent(LogLevel.DEBUG) { "event=job_completed job=${job.id}" }
    }

    /** The attempt and the heartbeat that shows its end, as key-value pairs for a log line. */
    private fun describeEvidence(attempt: Attempt, machine: Machine) = "attempt=${attempt.id} machine=${machine.id} " +
        "incarnation=${machine.incarnation} worker_token=${machine.highestSeenToken} inherited=${attempt.isInherited}"

    /** Increases the job's retry delay with each failure, up to the duration of a worker's lease. */
    private fun delayRetry(job: Job) {
        job.recordFailure(
            context.now.monotonicMs,
            firstDelayMs = timings.roundPeriodMs,
            limitMs = (deployment.workerLeaseS * 1000).toLong(),
        )
    }
}
