package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

@Serializable
data class PlacementClass(
    val team: String,
    val kind: JobKind,
    val priority: Priority,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val image: String,
    val types: Set<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spotAllowed: Boolean,
)
