package cleathitch.scheduler.log

import kotlinx.serialization.Serializable

/** The terminal state of a job: all its tasks were completed, or it was cancelled before that. */
@Serializable
enum class FinalState { DONE, CANCELLED }
