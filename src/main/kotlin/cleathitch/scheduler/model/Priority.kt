package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

/** Job priorities, highest first, so the smaller value is scheduled first. Stored by name, so a renamed value can't be read back. */
@Serializable
enum class Priority { PRODUCTION, HIGH, NORMAL, LOW }
