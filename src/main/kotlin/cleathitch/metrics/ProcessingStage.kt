package cleathitch.metrics

/** The parts of a controller's work whose times are measured. */
enum class ProcessingStage {
    HEARTBEAT_DECODING,
    BATCH_ENCODING,
    BATCH_DECODING,
    SCHEDULER,
    COMMIT_ENCODING,
    MACHINE_LIST,
    REPLAY,
    IMAGE_HINTS_ENCODING,
}
