package cleathitch.scheduler.log

import kotlinx.serialization.Serializable

@Serializable
enum class FinalState { DONE, CANCELLED }
