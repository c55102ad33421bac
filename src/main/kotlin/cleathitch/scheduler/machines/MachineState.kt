package cleathitch.scheduler.machines

/** Lifecycle state of a rented machine. */
enum class MachineState {
    /** Rented, but it has sent no heartbeat yet and none is expected yet. */
    STARTING,

    /** It has sent a heartbeat, or heartbeats are expected from it. */
    UP,

    /** Its termination is recorded but not yet confirmed by the cloud provider. */
    TERMINATING,
}
