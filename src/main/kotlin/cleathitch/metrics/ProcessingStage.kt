package cleathitch.metrics

/** The stages of a controller's work whose times are measured. */
enum class ProcessingStage {
    /** A worker's heartbeat from JSON. */
    HEARTBEAT_DECODING,

    /** A follower's batch for the leader to bytes. */
    BATCH_ENCODING,

    /** The heartbeats of a follower's batch to the scheduler's form. */
    BATCH_DECODING,

    /** One batch of inputs through the scheduler. */
    SCHEDULER,

    /** A commit to the forms that are stored. */
    COMMIT_ENCODING,

    /** The cloud's list of machines from JSON. */
    MACHINE_LIST,

    /** The stored entries to the state that a term starts from. */
    REPLAY,

    /** A part of the image cache hints to bytes. */
    IMAGE_HINTS_ENCODING,

    ;

    /** The stage's name in metrics and in the log. */
    val label = name.lowercase()
}
