package cleathitch.scheduler.placement

/** Why a nomination ended before all of its tasks were started. */
enum class NominationEnd {
    /** The job has no waiting task for the machine any more, is delayed after failures, or its team's limit is reached. */
    NOT_NEEDED,

    /** The machine can't be used any more. */
    MACHINE_UNUSABLE,

    /** The stopping tasks haven't ended in time. */
    EXPIRED,

    ;

    /** The name in log lines. */
    val label = name.lowercase()
}
