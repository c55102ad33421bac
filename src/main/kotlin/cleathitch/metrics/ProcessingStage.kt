package cleathitch.metrics

/** The stages of a controller's work whose duration is measured. */
enum class ProcessingStage {
    /** Decoding a worker's heartbeat. */
    HEARTBEAT_DECODING,

    /** Encoding a follower's batch for the leader. */
    BATCH_ENCODING,

    /** Converting the heartbeats of a follower's batch to the scheduler's types. */
    BATCH_DECODING,

    /** Processing one batch of inputs in the scheduler. */
    SCHEDULER,

    /** Encoding a commit for the key-value store. */
    COMMIT_ENCODING,

    /** Decoding one page of the cloud's list of machines. */
    MACHINE_LIST,

    /** Replaying the stored log entries, which yields the state with which a term starts. */
    REPLAY,

    /** Encoding a part of the image cache hints. */
    IMAGE_HINTS_ENCODING,

    ;

    /** The stage's name in metrics and log lines. */
    val label = name.lowercase()
}
