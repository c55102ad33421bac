package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

/** From the most to the least urgent. */
@Serializable
enum class Priority { PRODUCTION, HIGH, NORMAL, LOW }
