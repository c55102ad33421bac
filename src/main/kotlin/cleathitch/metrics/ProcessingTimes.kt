package cleathitch.metrics

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

/**
 * Measures the duration of the stages of a controller's work, for metrics and for a summary in the log. Confined to one event
 * loop.
 *
 * The longest single run matters as much as the total: on a machine with a tenth of a core, 30 ms of CPU time delay every
 * request by about a third of a second.
 */
class ProcessingTimes(meterRegistry: MeterRegistry) {
    private val stages = ProcessingStage.entries.associateWith { StageTimes(meterRegistry.timer("processing", "stage", it.label)) }

    /** Runs [work] and records its duration for [stage]. */
    fun <T> measure(stage: ProcessingStage, work: () -> T): T {
        val startNs = System.nanoTime()
        try {
            return work()
        } finally {
            stages.getValue(stage).record(System.nanoTime() - startNs)
        }
    }

    /** Formats count, total and longest duration of each stage that ran since the last summary, as keys and values of a log line. */
    fun summary(): String = stages.filterValues { it.count > 0 }
        .map { (stage, times) -> times.summary(stage.label).also { times.reset() } }
        .joinToString(" ")

    /** The durations of one stage: since the start of the process for the metrics, since the last summary for the log. */
    private class StageTimes(private val timer: Timer) {
        var count = 0
            private set
        private var totalNs = 0L
        private var longestNs = 0L

        fun record(durationNs: Long) {
            timer.record(durationNs, TimeUnit.NANOSECONDS)
            count++
            totalNs += durationNs
            longestNs = maxOf(longestNs, durationNs)
        }

        fun summary(label: String) = "${label}_count=$count ${label}_total_ms=${toMs(totalNs)} ${label}_longest_ms=${toMs(longestNs)}"

        fun reset() {
            count = 0
            totalNs = 0
            longestNs = 0
        }

        private fun toMs(durationNs: Long) = TimeUnit.NANOSECONDS.toMillis(durationNs)
    }
}
