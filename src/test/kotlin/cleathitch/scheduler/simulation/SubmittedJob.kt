package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.JobSpec

/** A job as its user knows it from the answers received. */
class SubmittedJob(val spec: JobSpec) {
    var isAccepted = false
        private set

    /** When the user first got the answer that the job is cancelled. */
    var cancellationConfirmedMs: Long? = null
        private set

    var isReportedDone = false
        private set

    var isCancellationRequested = false
        private set

    /** When the user last got an answer about the job other than "unavailable". */
    var answeredAtMs = 0L
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
        answeredAtMs = nowMs
    }

    fun recordCancelled(nowMs: Long) {
        if (cancellationConfirmedMs == null) cancellationConfirmedMs = nowMs
    }

    fun recordDone() {
        isReportedDone = true
    }
}
