package cleathitch.scheduler.jobs

/** Why an attempt is to be stopped. */
enum class StopCause {
    /** Its job is cancelled, or over for another reason: nothing of it goes on, and no progress is saved. */
    CANCELLED,

    /** The cloud takes its machine back soon: it saves its progress first. */
    DRAIN,

    /** It makes room for a task of higher priority: it saves its progress first. */
    PREEMPTED,

    /** Its task is complete by the result of another attempt, so its progress is of no use. */
    STRAY,
}
