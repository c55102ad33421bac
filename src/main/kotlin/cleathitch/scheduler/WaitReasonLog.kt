package cleathitch.scheduler

import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.WaitReason
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.model.JobId

/** Remembers why each job waits, and logs a job's reason when it changes. Confined to the leader's event loop. */
internal class WaitReasonLog(private val context: SchedulerContext) {
    private var previous: Map<JobId, WaitReason> = emptyMap()
    private val current = HashMap<JobId, WaitReason>()

    /** The number of jobs that waited after the last round, by reason. */
    var jobsByReason: Map<WaitReason, Int> = emptyMap()
        private set

    /** Records that [tasks] tasks of the job wait after this round. */
    fun record(job: Job, reason: WaitReason, tasks: Int) {
        current[job.id] = reason
        if (previous[job.id] == reason) return
        context.logEvent(LogLevel.DEBUG) { "event=job_waiting job=${job.id} reason=${reason.label} tasks=$tasks" }
    }

    /** Ends a round: jobs that weren't recorded in it don't wait any more. */
    fun endRound() {
        previous = HashMap(current)
        jobsByReason = current.values.groupingBy { it }.eachCount()
        current.clear()
    }
}
