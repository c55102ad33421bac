package cleathitch.metrics

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

/**
 * How long the parts of a controller's work take, as metrics and as a summary for the log.
 *
 * The longest single piece matters as much as the sum: on a machine with a tenth of a core, thirty milliseconds of work
 * keep every request waiting for a third of a second.
 */
class ProcessingTimes(meters: MeterRegistry) {
    private class Counted(val timer: Timer) {
        var count = 0
        var totalNs = 0L
        var longestNs = 0L
    }

    private val parts = ProcessingStage.entries.associateWith { Counted(meters.timer("work", "part", it.name.lowercase())) }

    /** Runs [work] and counts its time for [part]. */
    fun <T> measure(part: ProcessingStage, work: () -> T): T {
        val startNs = System.nanoTime()
        try {
            return work()
        } finally {
            note(parts.getValue(part), System.nanoTime() - startNs)
        }
    }

    private fun note(counted: Counted, tookNs: Long) {
        counted.timer.record(tookNs, TimeUnit.NANOSECONDS)
        counted.count++
        counted.totalNs += tookNs
        counted.longestNs = maxOf(counted.longestNs, tookNs)
    }

    /** Count, total and longest time of each part since the last summary. */
    fun summary(): String = parts.filterValues { it.count > 0 }.map { (part, counted) ->
        val text = "${part.name.lowercase()} ${counted.count}x ${ms(counted.totalNs)} ms (longest ${ms(counted.longestNs)})"
        counted.count = 0
        counted.totalNs = 0
        counted.longestNs = 0
        text
    }.joinToString(", ")

    private fun ms(ns: Long) = TimeUnit.NANOSECONDS.toMillis(ns)
}
