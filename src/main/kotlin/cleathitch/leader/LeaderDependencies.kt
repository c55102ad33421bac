package cleathitch.leader

import cleathitch.cloud.CloudClient
import cleathitch.metrics.ProcessingTimes
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.model.Deployment
import cleathitch.workers.WorkerClient
import io.micrometer.core.instrument.MeterRegistry

/** What a term as leader works with. */
class LeaderDependencies(
    val deployment: Deployment,
    val timings: SchedulerTimings,
    val workers: WorkerClient,
    val cloud: CloudClient,
    val clocks: Clocks,
    val meters: MeterRegistry,
    val processingTimes: ProcessingTimes,

    /** So many requests may wait for the engine; the rest is refused at once. */
    val maxRequests: Int,
)
