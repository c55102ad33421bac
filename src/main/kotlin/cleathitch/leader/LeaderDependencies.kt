package cleathitch.leader

import cleathitch.cloud.CloudClient
import cleathitch.metrics.ProcessingTimes
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.model.Deployment
import cleathitch.workers.WorkerClient
import io.micrometer.core.instrument.MeterRegistry

/** What each leadership term of this process works with; made once, at the start of the process. */
class LeaderDependencies(
    val deployment: Deployment,
    val timings: SchedulerTimings,
    val workers: WorkerClient,
    val cloud: CloudClient,
    val clocks: Clocks,
    val meters: MeterRegistry,
    val processingTimes: ProcessingTimes,

    /** How many requests may wait for the scheduler; those beyond are refused at once. */
    val maxQueuedRequests: Int,
)
