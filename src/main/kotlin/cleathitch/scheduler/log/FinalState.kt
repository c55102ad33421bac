package cleathitch.scheduler.log

import kotlinx.serialization.Serializable

/** How a job ended: all its tasks are completed, or it was cancelled before. */
@Serializable
enum class FinalState { DONE, CANCELLED }
