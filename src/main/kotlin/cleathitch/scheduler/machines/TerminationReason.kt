package cleathitch.scheduler.machines

/** Why the leader asks the cloud to terminate a machine; [logName] is what the log line says, and stays the same between versions. */
enum class TerminationReason(val logName: String) {
    /** It skipped heartbeats and left the probes unanswered. */
    SILENT("silent"),

    /** Its heartbeats arrive, but our replies don't reach it: its lease runs out again and again, and its tasks with it. */
    MISSES_REPLIES("misses_replies"),

    /** It answers probes, but none of its own heartbeats arrive, so its lease has run out. */
    NO_HEARTBEATS("no_heartbeats"),

    /** It was rented, and hasn't reported in the time that booting takes at most. */
    NEVER_STARTED("never_started"),

    /** It has run nothing for longer than it pays to keep it. */
    IDLE("idle"),

    /** The cloud lists it as failed. */
    FAILED("failed"),

    /** The job table names it, but it has neither reported nor been listed since the failover. */
    UNSEEN_SINCE_FAILOVER("unseen_since_failover"),
}
