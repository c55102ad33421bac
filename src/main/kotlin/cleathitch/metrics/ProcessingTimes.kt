package cleathitch.metrics

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

/**
 * How long the stages of a controller's work take, as metrics and as a summary for the log. Confined to one event loop.
 *
 * The longest single piece matters as much as the sum: on a machine with a tenth of a core, thirty milliseconds of work
 * keep every request waiting for a third of a second.
 */
class ProcessingTimes(meters: MeterRegistry) {
    private val stages = ProcessingStage.entries.associateWith { StageTimes(meters.timer("processing", "stage", it.label)) }

    /** Runs [work] and records its time for [stage]. */
    fun <T> measure(stage: ProcessingStage, work: () -> T): T {
        val startNs = System.nanoTime()
        try {
            return work()
        } finally {
            stages.getValue(stage).record(System.nanoTime() - startNs)
        }
    }

    /** Count, total and longest time of each stage that ran since the last summary, as keys and values for the log. */
    fun summary(): String = stages.filterValues { it.count > 0 }
        .map { (stage, times) -> times.summary(stage.label).also { times.reset() } }
        .joinToString(" ")

    /** One stage's times: for the metrics since the start of the process, for the log since the last summary. */
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
