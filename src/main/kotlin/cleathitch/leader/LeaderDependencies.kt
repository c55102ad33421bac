package cleathitch.leader

import cleathitch.cloud.CloudClient
import cleathitch.metrics.ProcessingTimes
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.model.Deployment
import cleathitch.workers.WorkerClient
import io.micrometer.core.instrument.MeterRegistry

/** The dependencies that all leadership terms of this process share; created once, at the start of the process. */
class LeaderDependencies(
    val deployment: Deployment,
    val timings: SchedulerTimings,
    val workers: WorkerClient,
    val cloud: CloudClient,
    val clocks: Clocks,
    val meterRegistry: MeterRegistry,
    val processingTimes: ProcessingTimes,

    /** The maximum number of requests queued for the scheduler; further requests are refused immediately. */
    val maxQueuedRequests: Int,
) {
    /** Metrics of the scheduling rounds in all terms. */
    val placementMeters = PlacementMeters(meterRegistry)
}
