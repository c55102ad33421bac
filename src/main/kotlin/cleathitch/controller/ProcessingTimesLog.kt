package cleathitch.controller

import cleathitch.metrics.ProcessingTimes
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/** Logs the times of the processing stages periodically. */
internal class ProcessingTimesLog(
    private val role: ControllerRole,
    private val processingTimes: ProcessingTimes,
    private val periodMs: Long,
) {
    /** Whether the log level includes the lines that [run] writes. */
    val isEnabled get() = log.isInfoEnabled

    /** Logs a line every [periodMs] until cancelled. */
    suspend fun run() {
        while (true) {
            delay(periodMs)
            val roleName = if (role.activeTerm != null) "leader" else "follower"
            log.info("event=processing_times role={} period_ms={} {}", roleName, periodMs, processingTimes.summary())
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.controller")
    }
}
