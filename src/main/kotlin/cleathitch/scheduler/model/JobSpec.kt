package cleathitch.scheduler.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A job as its user submitted it; immutable. It is stored with the job, so the serial names are part of the storage format. */
@Serializable
data class JobSpec(
    val id: JobId,
    /** The job class, to which objectives refer. */
    val className: String,
    /** Name of the [Team] whose quota the job uses. */
    val team: String,
    val kind: JobKind,
    val priority: Priority,
    /** Number of tasks; for a service, the number of replicas. */
    val tasks: Int,
    /** CPUs per task. */
    val cpus: Double,
    /** GPUs per task. */
    val gpus: Double,
    /** Memory per task, in gigabytes. */
    val memoryGb: Double,
    /** Name of the container image. */
    val image: String,
    /** Size of the image, in gigabytes. */
    val imageGb: Double,
    /** Names of the machine types on which the tasks may run; null for any. */
    @SerialName("types")
    val allowedTypes: Set<String>? = null,
    /** The zone in which the tasks have to run; null for any. */
    val zone: String? = null,
    /** Whether all tasks have to run in the same zone, whichever it is. */
    val oneZone: Boolean = false,
    /** Whether at most half of the tasks, rounded up, may share a zone. */
    val spread: Boolean = false,
    /** Whether tasks may run on spot machines. */
    val spotAllowed: Boolean = false,
    /** The user's estimate of a task's run time, in seconds; 0 if unknown. */
    @SerialName("estimateS")
    val estimatedRunS: Double = 0.0,
    /** Interval at which a task writes checkpoints, in seconds; 0 if it writes none and loses all progress when it is stopped. */
    @SerialName("checkpointS")
    val checkpointIntervalS: Double = 0.0,
    /** Time that a task needs to write a checkpoint when it is stopped, in seconds. */
    @SerialName("saveS")
    val checkpointWriteS: Double = 0.0,
    /** Completion deadline, in seconds after submission; null if there is none. */
    val deadlineS: Double? = null,
) {
    /** Jobs of the same placement class are interchangeable for placement: a machine that fits a task of one fits a task of the other. */
    val placementClass = PlacementClass(
        team, kind, priority, cpus, gpus, memoryGb, image, allowedTypes, zone, oneZone, spread, spotAllowed,
    )

    /** The maximum number of tasks in the same zone. */
    val maxPerZone: Int get() = if (spread) (tasks + 1) / 2 else tasks
}
