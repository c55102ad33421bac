package cleathitch.scheduler.log

import kotlinx.serialization.Serializable

/** The events stored in one record, in the order in which they were appended. */
@Serializable
data class LogRecord(val events: List<Event>)
