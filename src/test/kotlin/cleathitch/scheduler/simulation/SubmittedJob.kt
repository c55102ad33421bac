package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.JobSpec

/** A submitted job and what its user has learned about it from the answers received. */
class SubmittedJob(val spec: JobSpec) {
    var isAccepted = false
        private set

    /** When the user was first told that the job is cancelled. */
    var cancellationConfirmedMs: Long? = null
        private set

    var isReportedDone = false
        private set

    var isCancellationRequested = false
        private set

    /** When the user last got an answer about the job, apart from [cleathitch.scheduler.api.UserReply.Unavailable]. */
    var lastAnsweredAtMs = 0L
        private set

    val isReportedCancelled get() = cancellationConfirmedMs != null
    val hasEnded get() = isReportedDone || isReportedCancelled

    fun recordAcceptance() {
        isAccepted = true
    }

    fun recordCancellationRequest() {
        isCancellationRequested = true
    }

    fun recordAnswer(nowMs: Long) {
        lastAnsweredAtMs = nowMs
    }

    fun recordCancelled(nowMs: Long) {
        if (cancellationConfirmedMs == null) cancellationConfirmedMs = nowMs
    }

    fun recordDone() {
        isReportedDone = true
    }
}
