package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

/** What a user asked for. It never changes. */
@Serializable
data class JobSpec(
    val id: JobId,
    val className: String,
    val team: String,
    val kind: JobKind,
    val priority: Priority,
    val tasks: Int,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val image: String,
    val imageGb: Double,
    val types: Set<String>? = null,
    val zone: String? = null,
    val oneZone: Boolean = false,
    val spread: Boolean = false,
    val spotAllowed: Boolean = false,
    val estimateS: Double = 0.0,
    val checkpointS: Double = 0.0,
    val saveS: Double = 0.0,
    val deadlineS: Double? = null,
) {
    /** Jobs of one class are alike to the placement: what fits one fits all. */
    val placementClass = PlacementClass(
        team, kind, priority, cpus, gpus, memoryGb, image, types, zone, oneZone, spread, spotAllowed,
    )

    /** At most half of the tasks, rounded up, may share a zone when the job is spread. */
    val maxPerZone: Int get() = if (spread) (tasks + 1) / 2 else tasks
}
