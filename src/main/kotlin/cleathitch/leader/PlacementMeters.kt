package cleathitch.leader

import cleathitch.scheduler.api.PlacementStatistics
import cleathitch.scheduler.api.WaitReason
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tag
import java.util.concurrent.atomic.AtomicInteger

/** Metrics of the scheduling rounds in all terms of this process. */
class PlacementMeters(meterRegistry: MeterRegistry) {
    private val waitingJobs = WaitReason.entries.associateWith { reason ->
        AtomicInteger().also { meterRegistry.gauge("jobs.waiting", listOf(Tag.of("reason", reason.label)), it) }
    }
    private val preemptions = meterRegistry.counter("tasks.preempted")
    private val startsInFreedRoom = meterRegistry.counter("tasks.started_in_freed_room")
    private val wastedPreemptions = meterRegistry.counter("tasks.preempted_in_vain")
    private var recorded = PlacementStatistics()

    /** Ends a term; the statistics of the next one count from zero. */
    fun endTerm() = setGauges(PlacementStatistics())

    /** Records the term's newest statistics. */
    fun record(statistics: PlacementStatistics) {
        preemptions.increment((statistics.preemptions - recorded.preemptions).toDouble())
        startsInFreedRoom.increment((statistics.startsInFreedRoom - recorded.startsInFreedRoom).toDouble())
        wastedPreemptions.increment((statistics.wastedPreemptions - recorded.wastedPreemptions).toDouble())
        setGauges(statistics)
    }

    private fun setGauges(statistics: PlacementStatistics) {
        waitingJobs.forEach { (reason, jobs) -> jobs.set(statistics.waitingJobs[reason] ?: 0) }
        recorded = statistics
    }
}
