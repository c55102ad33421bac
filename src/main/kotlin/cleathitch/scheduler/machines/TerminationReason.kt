package cleathitch.scheduler.machines

/** Why the leader requests a machine's termination; [logName] is its name in log lines, which must not change between versions. */
enum class TerminationReason(val logName: String) {
    /** The machine missed heartbeats and didn't answer probes. */
    SILENT("silent"),

    /** Its heartbeats arrive but the leader's replies don't reach it, so its lease expires repeatedly, which kills its tasks. */
    MISSES_REPLIES("misses_replies"),

    /** It answers probes but none of its own heartbeats arrive, so its lease has expired. */
    NO_HEARTBEATS("no_heartbeats"),

    /** It was rented but hasn't reported within the maximum boot time. */
    NEVER_STARTED("never_started"),

    /** It has been idle for so long that keeping it isn't economical. */
    IDLE("idle"),

    /** The cloud provider lists it as failed. */
    FAILED("failed"),

    /** It has attempts in the job table but has neither reported nor been listed since the failover. */
    UNSEEN_SINCE_FAILOVER("unseen_since_failover"),
}
