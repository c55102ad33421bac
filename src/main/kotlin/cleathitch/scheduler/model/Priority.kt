package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

/** Job priorities in scheduling order, highest first. Stored by name, so a renamed value can't be read back. */
@Serializable
enum class Priority { PRODUCTION, HIGH, NORMAL, LOW }
