package cleathitch.scheduler.log

import kotlinx.serialization.Serializable

/** Events that are stored in one value, in the order in which they were appended. */
@Serializable
data class LogRecord(val events: List<Event>)
