package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

/** From the most to the least urgent, so a smaller one goes first. Stored by name: a renamed value can't be read back. */
@Serializable
enum class Priority { PRODUCTION, HIGH, NORMAL, LOW }
