package cleathitch.scheduler.log

import kotlinx.serialization.Serializable

/** The events of one commit. */
@Serializable
data class LogRecord(val events: List<Event>)
