package cleathitch.scheduler

import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.WaitReason
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.model.JobId

/**
 * Remembers why each job waits, and logs a job's reason when it changes: at debug level, and for jobs accepted long ago at info level,
 * too. Confined to the leader's event loop.
 */
internal class WaitReasonLog(private val context: SchedulerContext) {
    private data class Entry(val reason: WaitReason, val isLongWait: Boolean)

    private var previous = HashMap<JobId, Entry>()
    private var current = HashMap<JobId, Entry>()
    private var infoLinesInRound = 0

    /** The number of jobs that waited after the last round, by reason. */
    var jobsByReason: Map<WaitReason, Int> = emptyMap()
        private set

    /** Records that [tasks] tasks of the job wait after this round. */
    fun record(job: Job, reason: WaitReason, tasks: Int) {
        val entry = Entry(reason, context.now.wallMs - job.acceptedAtWallMs >= LONG_WAIT_MS)
        current[job.id] = entry
        if (previous[job.id] == entry) return
        context.logEvent(levelOf(entry)) { "event=job_waiting job=${job.id} reason=${reason.label} tasks=$tasks" }
    }

    private fun levelOf(entry: Entry): LogLevel {
        if (!entry.isLongWait || infoLinesInRound >= MAX_INFO_LINES_PER_ROUND) return LogLevel.DEBUG
        infoLinesInRound++
        return LogLevel.INFO
    }

    /** Ends a round: jobs that weren't recorded in it don't wait any more. */
    fun endRound() {
        jobsByReason = current.values.groupingBy { it.reason }.eachCount()
        previous = current.also { current = previous }
        current.clear()
        infoLinesInRound = 0
    }

    private companion object {
        /** The age of a job from which its reasons are logged at info level. */
        const val LONG_WAIT_MS = 20_000L

        /** Keeps the log readable when many jobs wait. */
        const val MAX_INFO_LINES_PER_ROUND = 5
    }
}
