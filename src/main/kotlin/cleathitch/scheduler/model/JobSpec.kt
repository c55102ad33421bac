package cleathitch.scheduler.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A job as its user submitted it. It never changes. Stored with the job: serial names are bytes on disk. */
@Serializable
data class JobSpec(
    val id: JobId,
    /** The job class, to which objectives refer. */
    val className: String,
    /** Name of the [Team] whose quota the job uses. */
    val team: String,
    val kind: JobKind,
    val priority: Priority,
    /** Number of tasks, replicas for a service. */
    val tasks: Int,
    /** Processors of one task. */
    val cpus: Double,
    /** Accelerators of one task. */
    val gpus: Double,
    /** Memory of one task. */
    val memoryGb: Double,
    /** Name of the container image. */
    val image: String,
    /** Size of the image. */
    val imageGb: Double,
    /** Names of the machine types on which tasks may run; null for any. */
    @SerialName("types")
    val allowedTypes: Set<String>? = null,
    /** The zone in which tasks have to run; null for any. */
    val zone: String? = null,
    /** All tasks have to run in the same zone, whichever that is. */
    val oneZone: Boolean = false,
    /** At most half of the tasks, rounded up, may share a zone. */
    val spread: Boolean = false,
    /** Tasks may run on spot machines. */
    val spotAllowed: Boolean = false,
    /** How long a task runs, by its user's estimate; 0 when unknown. */
    @SerialName("estimateS")
    val estimatedRunS: Double = 0.0,
    /** Interval of a task's own checkpoints; 0 when it writes none and loses all progress when it is stopped. */
    @SerialName("checkpointS")
    val checkpointIntervalS: Double = 0.0,
    /** How long a task takes to write a checkpoint when it is stopped. */
    @SerialName("saveS")
    val checkpointWriteS: Double = 0.0,
    /** Seconds after its submission within which the job is to be finished; null without a deadline. */
    val deadlineS: Double? = null,
) {
    /** Jobs of one class are interchangeable to the placement: where a task of one fits, a task of the other fits. */
    val placementClass = PlacementClass(
        team, kind, priority, cpus, gpus, memoryGb, image, allowedTypes, zone, oneZone, spread, spotAllowed,
    )

    /** How many tasks may share a zone. */
    val maxPerZone: Int get() = if (spread) (tasks + 1) / 2 else tasks
}
