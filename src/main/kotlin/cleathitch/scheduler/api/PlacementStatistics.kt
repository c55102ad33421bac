package cleathitch.scheduler.api

/** What the scheduling rounds of a term have done so far, for metrics. */
data class PlacementStatistics(
    /** Jobs that waited after the last round, by reason. */
    val waitingJobs: Map<WaitReason, Int> = emptyMap(),
    /** Tasks stopped to make room for others. */
    val preemptions: Long = 0,
    /** Tasks started in room that was made for them. */
    val startsInFreedRoom: Long = 0,
    /** Tasks stopped for room that wasn't used. */
    val wastedPreemptions: Long = 0,
)
